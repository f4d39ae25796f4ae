import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createConnection, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { ResponseSocket, TunnelServer, openTunnel } from '../src/index.js';

const host = '127.0.0.1';

/** A server that calls `serve` with each connection, and a tunnel server that may connect to it. */
async function start(serve: (socket: Socket) => void, isAllowed = () => true) {
  const target = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    serve(socket);
  });
  target.listen(0, host);
  await once(target, 'listening');
  const { port } = target.address() as AddressInfo;
  const tunnels = TunnelServer.create(isAllowed);
  const peer = { host, port: (await tunnels.listen(host, 0))._unsafeUnwrap() };
  const close = () => {
    target.close();
    tunnels.close();
  };
  return { tunnels, peer, address: `${host}:${port}`, close };
}

async function textOf(socket: Socket): Promise<string> {
  let text = '';
  for await (const chunk of socket) text += String(chunk);
  return text;
}

test('bytes pass both ways, and each end shows at the other side', async () => {
  const { tunnels, peer, address, close } = await start((socket) => {
    let text = '';
    socket.on('data', (bytes) => {
      text += String(bytes);
    });
    socket.on('end', () => socket.end(`got ${text}`));
  });
  const socket = (await openTunnel(peer, address, 1000))._unsafeUnwrap();
  assert.equal(tunnels.active, 1);
  const answer = textOf(socket);
  socket.end('figs');
  assert.equal(await answer, 'got figs');
  close();
});

test('a reset of the target resets the tunnel, so that no answer looks complete', async () => {
  const { peer, address, close } = await start((socket) => {
    socket.write('half');
    socket.once('data', () => socket.resetAndDestroy());
  });
  const socket = (await openTunnel(peer, address, 1000))._unsafeUnwrap();
  socket.write('go on');
  await assert.rejects(textOf(socket), { code: 'ECONNRESET' });
  close();
});

test('the end of the client closes the connection to the target', async () => {
  let onClosed = () => undefined as void;
  const closed = new Promise<void>((resolve) => {
    onClosed = resolve;
  });
  const { tunnels, peer, address, close } = await start((socket) => {
    socket.once('close', onClosed);
    socket.once('end', () => socket.end());
    socket.resume();
  });
  const socket = (await openTunnel(peer, address, 1000))._unsafeUnwrap();
  socket.destroy();
  await closed;
  while (tunnels.active > 0) await sleep(5);
  close();
});

test('a client that leaves before the target is reached leaves no connection behind', async () => {
  const open = new Set<Socket>();
  let client: Socket | undefined;
  const { tunnels, peer, address, close } = await start(
    (socket) => {
      open.add(socket.resume());
      socket.once('close', () => open.delete(socket));
      socket.once('end', () => socket.end());
    },
    () => {
      client!.resetAndDestroy();
      return true;
    },
  );
  for (let i = 0; i < 20; i += 1) {
    client = createConnection(peer);
    client.on('error', () => undefined);
    client.write(`CONNECT ${address} HTTP/1.1\r\nHost: x\r\n\r\n`);
    await once(client, 'close');
    await sleep(10);
  }
  assert.equal(tunnels.active, 0);
  assert.equal(open.size, 0);
  close();
});

test('a target that refuses, or that peers may not connect to, is told from a lost peer', async () => {
  const open = await start(() => undefined);
  const refusing = (await openTunnel(open.peer, `${host}:1`, 1000))._unsafeUnwrapErr();
  assert.equal(refusing.kind, 'no-target');
  open.close();
  const closed = await start(
    () => undefined,
    () => false,
  );
  const forbidden = (await openTunnel(closed.peer, closed.address, 1000))._unsafeUnwrapErr();
  assert.equal(forbidden.kind, 'no-target');
  closed.close();
  const lost = (await openTunnel({ host, port: 1 }, closed.address, 1000))._unsafeUnwrapErr();
  assert.equal(lost.kind, 'no-peer');
});

test('a peer that does not answer in time is lost', async () => {
  const silent = createServer((socket) => {
    socket.on('error', () => undefined);
  });
  silent.listen(0, host);
  await once(silent, 'listening');
  const { port } = silent.address() as AddressInfo;
  const result = await openTunnel({ host, port }, `${host}:9`, 50);
  assert.equal(result._unsafeUnwrapErr().kind, 'no-peer');
  silent.close();
});

test('malformed requests for a tunnel end no other tunnel', async () => {
  const { peer, address, close } = await start((socket) => socket.pipe(socket));
  const sound = (await openTunnel(peer, address, 1000))._unsafeUnwrap();
  for (const text of ['CONNECT\r\n\r\n', 'GET / HTTP/1.1\r\nHost: x\r\n\r\n', '\0\0\r\n\r\n']) {
    const socket = createConnection(peer);
    socket.on('error', () => undefined);
    socket.write(text);
    socket.resume();
    await once(socket, 'close');
  }
  sound.end('figs');
  assert.equal(await textOf(sound), 'figs');
  close();
});

/** How the end of a tunnel looks, once it was read to its end, and how many bytes came before. */
async function endingOf(socket: Socket) {
  assert.ok(socket instanceof ResponseSocket);
  let length = 0;
  try {
    for await (const chunk of socket) {
      length += (chunk as Buffer).length;
      socket.recordRead((chunk as Buffer).length);
    }
  } catch {
    return { length, end: 'broken' };
  }
  return { length, end: await socket.ending() };
}

// Guards against a part of an answer that passes as the whole, as its tunnel ends like any other.
test('a reset of the target right after its last bytes is no end of the tunnel', async () => {
  const { peer, address, close } = await start((socket) => {
    socket.write('half');
    socket.resetAndDestroy();
  });
  for (let i = 0; i < 300; i += 1) {
    const opened = await openTunnel(peer, address, 1000);
    if (opened.isOk()) assert.notEqual((await endingOf(opened.value)).end, 'closed');
  }
  close();
});

test('a target that closes ends the tunnel, also after many bytes and where it closes fully', async () => {
  const bytes = Buffer.alloc(3 * 1024 * 1024);
  const ends: readonly ((socket: Socket) => void)[] = [
    (socket) => socket.end(bytes),
    (socket) => socket.end(bytes, () => socket.destroy()),
  ];
  for (const end of ends) {
    const { peer, address, close } = await start(end);
    for (let i = 0; i < 20; i += 1) {
      const socket = (await openTunnel(peer, address, 1000))._unsafeUnwrap();
      assert.deepEqual(await endingOf(socket), { length: bytes.length, end: 'closed' });
      socket.destroy();
    }
    close();
  }
});

/** A peer that answers requests for tunnels by `answer`, and closes after it. */
async function startPeer(answer: string) {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(answer));
  });
  server.listen(0, host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { peer: { host, port }, close: () => server.close() };
}

test('the end of the peer is no end of the target', async () => {
  const framed = 'HTTP/1.1 200 Connected\r\nTunnel-Frames: 1\r\n\r\n';
  const part = '\0\0\0\x04half';
  const answers: readonly [string, string][] = [
    // A peer that dies closes its connections in the ordinary way.
    [framed + part, 'unknown'],
    [`${framed}${part}\0\0`, 'unknown'],
    [`${framed}${part}\0\0\0\0`, 'closed'],
    // A peer of an earlier version knows no frames.
    ['HTTP/1.1 200 Connected\r\n\r\nhalf', 'unknown'],
  ];
  for (const [answer, end] of answers) {
    const { peer, close } = await startPeer(answer);
    const socket = (await openTunnel(peer, `${host}:9`, 1000))._unsafeUnwrap();
    assert.deepEqual(await endingOf(socket), { length: 4, end }, answer);
    close();
  }
});

test('a client of an earlier version gets bytes without frames', async () => {
  const { peer, address, close } = await start((socket) => socket.end('figs'));
  const socket = createConnection(peer);
  socket.write(`CONNECT ${address} HTTP/1.1\r\nHost: x\r\n\r\n`);
  assert.equal(await textOf(socket), 'HTTP/1.1 200 Connected\r\n\r\nfigs');
  close();
});
