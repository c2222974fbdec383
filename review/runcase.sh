# Runs the case of the folder $1 (review/N) with the command of the deploy file; sourced by its run.sh.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$1/../.." || exit 2
number=$(basename "$1")
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
binary=target/review/case-$number
if [ ! -x "$binary" ] || [ ! -x "${command%% *}" ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
# The processes that the case starts end with it, also when the time limit ends it.
timeout -k 2 110 "$binary" "$command" "review/$number/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
