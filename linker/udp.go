package linker

import (
	"context"
	"net"
	"net/netip"

	"celeryvalve/repeater"
)

const (
	// maxPacket is the largest UDP payload.
	maxPacket = 64 << 10
	// packetsInFlight bounds what one direction of a client has under way.
	packetsInFlight = 4096
	// shortHeaderMask is the bit of QUIC's first byte that a short header leaves clear.
	shortHeaderMask = 0x80
)

// connectionID is the start of the destination connection id of a QUIC packet.
type connectionID [4]byte

// connectionIDOf returns the id of a packet with a short header.
func connectionIDOf(packet []byte) (connectionID, bool) {
	var id connectionID
	if len(packet) < 1+len(id) || packet[0]&shortHeaderMask != 0 {
		return id, false
	}
	copy(id[:], packet[1:])
	return id, true
}

// packetForwarder forwards the packets of one listening address.
type packetForwarder struct {
	link    *Link
	forward Forward
	conn    *net.UDPConn
	clients map[netip.AddrPort]*packetLine
}

// ForwardUDP forwards packets until ctx ends. Each client address gets its own
// socket towards the target, so that answers find their way back.
func (l *Link) ForwardUDP(ctx context.Context, f Forward) error {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", f.Listen)
	if err != nil {
		return err
	}
	p := &packetForwarder{
		link:    l,
		forward: f,
		conn:    conn.(*net.UDPConn),
		clients: make(map[netip.AddrPort]*packetLine),
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, maxPacket)
	for {
		n, client, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := p.send(ctx, client, buf[:n]); err != nil {
			return err
		}
	}
}

// send passes a client's packet towards the target.
func (p *packetForwarder) send(ctx context.Context, client netip.AddrPort, packet []byte) error {
	line, ok := p.clients[client]
	if !ok {
		var err error
		line, err = p.open(ctx, client)
		if err != nil {
			return err
		}
		p.clients[client] = line
	}
	line.offer(packet)
	return nil
}

// open makes the two directions of a client.
func (p *packetForwarder) open(ctx context.Context, client netip.AddrPort) (*packetLine, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", p.forward.Target)
	if err != nil {
		return nil, err
	}
	target := conn.(*net.UDPConn)
	context.AfterFunc(ctx, func() { _ = target.Close() })
	there := newPacketLine(p.link, p.forward.direction(), func(data []byte) { _, _ = target.Write(data) })
	back := newPacketLine(p.link, p.forward.direction().reversed(), func(data []byte) {
		_, _ = p.conn.WriteToUDPAddrPort(data, client)
	})
	go there.run(ctx)
	go back.run(ctx)
	go p.receive(ctx, target, back)
	return there, nil
}

// receive passes the target's packets towards the client.
func (p *packetForwarder) receive(ctx context.Context, target *net.UDPConn, back *packetLine) {
	buf := make([]byte, maxPacket)
	for ctx.Err() == nil {
		n, err := target.Read(buf)
		if err != nil {
			continue // a target that is down refuses packets; it may come back
		}
		back.offer(buf[:n])
	}
}

// packetLine holds the packets of one direction until they arrive.
type packetLine struct {
	link    *Link
	d       Direction
	write   func([]byte)
	packets chan piece
}

func newPacketLine(l *Link, d Direction, write func([]byte)) *packetLine {
	return &packetLine{link: l, d: d, write: write, packets: make(chan piece, packetsInFlight)}
}

func (q *packetLine) offer(packet []byte) {
	arrival, ok := q.link.carryPacket(q.d, packet)
	if !ok {
		return
	}
	data := append([]byte(nil), packet...)
	select {
	case q.packets <- piece{data: data, arrival: arrival}:
	default: // the queue is full, as on a real link
	}
}

func (q *packetLine) run(ctx context.Context) {
	for {
		select {
		case p := <-q.packets:
			if repeater.SleepUntil(ctx, q.link.clock, p.arrival) != nil {
				return
			}
			q.write(p.data)
		case <-ctx.Done():
			return
		}
	}
}
