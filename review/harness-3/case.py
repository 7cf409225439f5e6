"""Runs one case: a small deployment, and the end of all that it started."""

import asyncio
import os
import signal
import sys
import tempfile

from standins import Record, Router, Store, free_port, own_ip, router_ports, until

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Case:
    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory()
        self.routers = []

    async def start(self, machines, runners, config, settle=3.0):
        """Starts the store, the runners and the machines."""
        ip = own_ip("127.0.7.100")
        self.store = Store(f"{ip}:{free_port(ip)}")
        await self.store.start()
        for runner in runners:
            runner.store = self.store
            await runner.start()
        self.store.put("keyed.op", "config", config)
        ports = router_ports()
        self.routers = [
            Router(self.temporary.name, i, machines, ports, self.store.address)
            for i in range(machines)]
        for router in self.routers:
            router.start()
        for router in self.routers:
            if not await until(router.ready, 15):
                raise RuntimeError("a machine does not get ready")
        self.record.note(f"{machines} machines are ready")
        # The sheets' traffic starts some seconds after the machines do.
        await asyncio.sleep(settle)

    def note(self, text):
        self.record.note(text)

    def end(self):
        for router in self.routers:
            router.kill()
        self.temporary.cleanup()


def run(folder, play):
    """Plays a case; `play` returns whether the rule held."""
    case = Case(folder)

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(play(case), 110)

    code = COULD_NOT_RUN
    # The time limit of run.sh must not leave routers behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit())
    try:
        held = asyncio.run(main())
        case.note(f"trouble={int(case.trouble)}: the rule "
                  + ("held" if held else "was broken"))
        code = HELD if held else BROKEN
    except Exception as error:  # pylint: disable=broad-except
        case.note(f"the case could not run: {error!r}")
    finally:
        case.end()
    sys.stdout.flush()
    os._exit(code)
