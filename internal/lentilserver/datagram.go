package lentilserver

import (
	"errors"
	"net"
	"net/netip"
)

// ServeDatagrams calls handle with each received datagram and its sender until the socket
// is closed. Datagrams are read into buffer, and longer ones are cut to its length. handle
// must not keep a datagram after it returns, since the buffer is reused.
func ServeDatagrams(conn *net.UDPConn, buffer []byte, handle func(datagram []byte, from netip.AddrPort)) {
	for {
		length, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// Other errors concern a single datagram, not the socket.
		if err != nil {
			continue
		}
		handle(buffer[:length], from)
	}
}
