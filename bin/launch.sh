# Starts a program of this checkout; the scripts beside this one call `launch PROGRAM MAIN_CLASS HEAP_MB ARGUMENTS`.
#
# The first compiler tier alone starts faster and needs less memory than both tiers; figures are in docs/operators.md.
# An archive of loaded classes, target/PROGRAM.jsa, is used if there is one. JAVA_OPTIONS adds JVM flags.

launch() {
    local program="$1" main="$2" heap_mb="$3"
    shift 3
    local home class_path jar archive=()
    home="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
    class_path="$(echo "$home"/target/fulmarshunt-*.jar)"
    # The archive is valid for one sequence of jars only, so they are listed in name order instead of by `*`.
    for jar in "$home"/target/lib/*.jar; do class_path="$class_path:$jar"; done
    if [ -f "$home/target/$program.jsa" ]; then archive=(-XX:SharedArchiveFile="$home/target/$program.jsa"); fi
    # shellcheck disable=SC2086 # JAVA_OPTIONS holds several flags.
    exec java -XX:+UseSerialGC -Xms16m "-Xmx${heap_mb}m" -Xss256k -XX:TieredStopAtLevel=1 \
        -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=32m -XX:+ExitOnOutOfMemoryError \
        -Xshare:auto -Xlog:disable -Xlog:all=error:stderr "${archive[@]}" ${JAVA_OPTIONS:-} \
        -cp "$class_path" "$main" "$@"
}
