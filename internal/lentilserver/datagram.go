package lentilserver

import (
	"errors"
	"net"
	"net/netip"
)

// ServeDatagrams calls take with each datagram that arrives and its sender, until the socket
// is closed. Datagrams are read into buffer, are cut to its length and share its memory,
// so take must be done with one when it returns.
func ServeDatagrams(conn *net.UDPConn, buffer []byte, take func(datagram []byte, from netip.AddrPort)) {
	for {
		length, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// Other errors are about single datagrams, not about the socket.
		if err != nil {
			continue
		}
		take(buffer[:length], from)
	}
}
