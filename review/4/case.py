"""A control host is replaced as planned, and a second later another loses its disk.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loopback import BROKEN, HELD, NOT_RUN, Deployment, run_case  # noqa: E402

_CONTROLS = ("core-1", "core-2", "core-3")
_SUCCESSOR = "core-4"
_ENTRIES = ("edge-1", "edge-2", "edge-3")
_GRACE_SECONDS = 8.0
# Time from the successor's start to the SIGTERM of the host that it replaces, in
# seconds. The successor counts as lost for `catch_up_s`, which is 4 s.
_HANDOVER_SECONDS = 6.0
# Time from the end of the replaced host to the loss of the disk, and from there to the
# restart with an empty disk, in seconds.
_LOSS_DELAY = 1.0
_RESTART_DELAY = 1.0
# Time after the restart for which nothing is judged, in seconds: `catch_up_s`,
# `contact_ms` and `recover_s` of the site one after the other.
_RECOVERY_SECONDS = 19.0
# The pages ask for reads over `contact_ms` at least, which is 3 s.
_READ_SECONDS = 15.0
_CHANGE_SECONDS = 10.0


def _play(deployment: Deployment, is_disturbed: bool) -> int:
    record = deployment.record
    deployment.seeds = list(_CONTROLS)
    for number, name in enumerate((*_CONTROLS, _SUCCESSOR), 1):
        deployment.add(name, number, is_control=True)
    for number, name in enumerate(_ENTRIES, 11):
        deployment.add(name, number, is_control=False)
    deployment.add_platform()
    for number in (31, 32, 33):
        deployment.add_replica(f"i-{number}", number)
    for name in (*_CONTROLS, *_ENTRIES):
        deployment.start(name, bootstrap=True)
    time.sleep(3.0)
    if not deployment.replace_configuration(1, 15.0):
        record.write("judge: version 1 isn't acknowledged, so the case can't run")
        return NOT_RUN
    time.sleep(2.0)
    deployment.start(_SUCCESSOR, bootstrap=False)
    time.sleep(_HANDOVER_SECONDS)
    if not deployment.replace_configuration(2, 8.0):
        record.write("judge: version 2 isn't acknowledged, so the case can't run")
        return NOT_RUN
    deployment.terminate("core-3", _GRACE_SECONDS)
    if is_disturbed:
        time.sleep(_LOSS_DELAY)
        deployment.kill("core-2")
        deployment.wipe("core-2")
        time.sleep(_RESTART_DELAY)
        deployment.start("core-2", bootstrap=False)
    time.sleep(_RECOVERY_SECONDS)
    for name in ("core-1", "core-2", _SUCCESSOR, *_ENTRIES):
        if not deployment.is_running(name):
            record.write(f"judge: {name} doesn't run, so the case can't run")
            return NOT_RUN
    version = deployment.read_configuration(_READ_SECONDS)
    is_acknowledged = deployment.replace_configuration(3, _CHANGE_SECONDS)
    answer = deployment.request("edge-1", "00000000000000a1")
    deployment.keep_logs("consensus")
    record.write(f"judge: version read back: {version}, acknowledged before: 2")
    record.write(f"judge: version 3 acknowledged: {is_acknowledged}")
    record.write(f"judge: request served: {answer is not None and answer.status}")
    return HELD if version is not None and version >= 2 else BROKEN


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, _play))
