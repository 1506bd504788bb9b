"""Entries of another writer, as bytes; none names a runner to use."""

_SOUND = (
    b'"service":"board","address":"127.0.0.1:9","zone":"a","slots":4,'
    b'"state":"ready","coldRemainingMs":0,"sequence":1'
)

ODD_ENTRIES = (
    b"",
    b"\xff\xfe\x00",
    b"[" * 50_000,
    b"{%b" % _SOUND,
    b'{%b,"version":%b%b}' % (_SOUND, b"[" * 2_000, b"]" * 2_000),
    b'{%b,"version":1}' % _SOUND,
    b'{%b,"version":"1","slots":%b}' % (_SOUND, b"9" * 400),
    b'{%b,"version":"1","address":"127.0.0.1:%b"}' % (_SOUND, b"9" * 5_000),
    b'{%b,"version":"1","address":"127.0.0.1\\r\\nx: y:80"}' % _SOUND,
    b'{%b,"version":"1","state":"asleep"}' % _SOUND,
    b'{%b,"version":"1","group":{"name":"g","epoch":-1}}' % _SOUND,
    b'{%b,"version":"1","born":1e400}' % _SOUND,
)
