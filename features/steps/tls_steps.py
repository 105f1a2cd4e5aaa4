import asyncio
import pathlib
import ssl
import tempfile

import aiohttp
import trustme
from behave import given
from behave import then
from environment import LoopThread
from ports import find_base

from rookspring.exceptions import SettingsError
from rookspring.local_cluster import LocalCluster
from rookspring.local_cluster import LocalClusterPlan
from rookspring.node import Node
from rookspring.peers import PeerServer
from rookspring.settings import check_settings
from rookspring_fakes.users import SMALL


@given("two nodes with a certificate")
def two_nodes(context):
    context.loop = LoopThread()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    cert, key = (str(pathlib.Path(folder.name) / name) for name in ("cert.pem", "key.pem"))
    issued.private_key_and_cert_chain_pem.write_to_path(cert)
    issued.private_key_pem.write_to_path(key)
    context.trusting = ssl.create_default_context()
    authority.configure_trust(context.trusting)

    async def work():
        stage = LocalCluster(LocalClusterPlan(SMALL, base_port=find_base(), nodes=0, quiet=True))
        await stage.start()
        nodes = []
        for number in (1, 2):
            settings = stage.make_settings(number)._replace(tls_cert=cert, tls_key=key)
            nodes.append(Node(check_settings(settings)))
            stage.list_node(settings)
            await nodes[-1].start()
        return stage, nodes

    context.stage, context.nodes = context.loop.run(work())
    context.add_cleanup(close, context)


def close(context):
    async def work():
        for node in context.nodes:
            await node.close()
        await context.stage.close()

    context.loop.run(work())
    context.loop.stop()
    context.loop = None


@then("they are linked")
def are_linked(context):
    async def work():
        async with asyncio.timeout(15.0):
            while not all(node.state.membership.size() == 1 for node in context.nodes):
                await asyncio.sleep(0.05)

    context.loop.run(work())


@then("a caller is answered over https and not over http")
def answered_over_https(context):
    address = context.nodes[0].settings.caller_address

    async def work():
        async with aiohttp.ClientSession() as session:
            url = f"https://{address}/healthz"
            async with session.get(url, ssl=context.trusting) as response:
                assert response.status == 200
            try:
                async with session.get(f"http://{address}/healthz") as response:
                    return response.status
            except aiohttp.ClientError:
                return 0

    assert context.loop.run(work()) != 200


@then("a node without the shared key is refused")
def keyless_refused(context):
    async def work():
        async def serve(link):
            raise AssertionError("the node without the key passed the handshake")

        keyless = PeerServer("box-9", "9", "x" * 20, serve, context.nodes[0].tls)
        await asyncio.wait_for(keyless.dial(context.nodes[0].settings.address), 10.0)
        return [*context.nodes[0].peers.links]

    assert context.loop.run(work()) == ["box-2"]


@then("settings with a certificate alone are refused, naming {fields}")
def settings_refused(context, fields):
    settings = LocalCluster(LocalClusterPlan(SMALL)).make_settings(1)._replace(tls_cert="x")
    try:
        check_settings(settings)
    except SettingsError as error:
        assert any(fault.startswith(fields) for fault in error.faults), error.faults
        return
    raise AssertionError("accepted")
