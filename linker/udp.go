package linker

import (
	"context"
	"net"
	"net/netip"

	"celeryvalve/repeater"
)

const (
	// maxPacketSize is the size of the receive buffer. No UDP payload is larger.
	maxPacketSize = 64 << 10
	// packetsInFlight limits the packets that are in transit in one direction of a
	// client.
	packetsInFlight = 4096
	// headerFormBit is the bit in the first byte of a QUIC packet that is 0 in a short
	// header.
	headerFormBit = 0x80
)

// connectionID is the first bytes of the destination connection ID of a QUIC packet.
type connectionID [4]byte

// connectionIDOf returns the connection ID of a packet with a short header, or false for
// any other packet.
func connectionIDOf(packet []byte) (connectionID, bool) {
	var id connectionID
	if len(packet) < 1+len(id) || packet[0]&headerFormBit != 0 {
		return id, false
	}
	copy(id[:], packet[1:])
	return id, true
}

// packetForwarder forwards the packets of one Forward.
type packetForwarder struct {
	link    *Link
	forward Forward
	conn    *net.UDPConn
	clients map[netip.AddrPort]*packetQueue
}

// ForwardUDP forwards packets until ctx ends. It uses one socket to the target for each
// client address, so that it can send the target's packets to the right client. It
// returns an error if it can't listen on f.Listen, read a packet or open such a socket.
func (l *Link) ForwardUDP(ctx context.Context, f Forward) error {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", f.Listen)
	if err != nil {
		return err
	}
	p := &packetForwarder{
		link:    l,
		forward: f,
		conn:    conn.(*net.UDPConn),
		clients: make(map[netip.AddrPort]*packetQueue),
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, maxPacketSize)
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

// send queues a packet of the client for the target.
func (p *packetForwarder) send(ctx context.Context, client netip.AddrPort, packet []byte) error {
	queue, ok := p.clients[client]
	if !ok {
		var err error
		queue, err = p.open(ctx, client)
		if err != nil {
			return err
		}
		p.clients[client] = queue
	}
	queue.enqueue(packet)
	return nil
}

// open opens the socket to the target for a new client and starts both directions. It
// returns the queue of the packets for the target.
func (p *packetForwarder) open(ctx context.Context, client netip.AddrPort) (*packetQueue, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", p.forward.Target)
	if err != nil {
		return nil, err
	}
	target := conn.(*net.UDPConn)
	context.AfterFunc(ctx, func() { _ = target.Close() })
	toTarget := newPacketQueue(p.link, p.forward.direction(), func(data []byte) { _, _ = target.Write(data) })
	toClient := newPacketQueue(p.link, p.forward.direction().reversed(), func(data []byte) {
		_, _ = p.conn.WriteToUDPAddrPort(data, client)
	})
	go toTarget.run(ctx)
	go toClient.run(ctx)
	go p.receive(ctx, target, toClient)
	return toTarget, nil
}

// receive queues the packets of the target for the client.
func (p *packetForwarder) receive(ctx context.Context, target *net.UDPConn, toClient *packetQueue) {
	buf := make([]byte, maxPacketSize)
	for ctx.Err() == nil {
		n, err := target.Read(buf)
		if err != nil {
			continue // the target may not be running now, but may be started later
		}
		toClient.enqueue(buf[:n])
	}
}

// packetQueue holds the packets of one direction of a client until their arrival times.
type packetQueue struct {
	link      *Link
	direction Direction
	write     func([]byte)
	packets   chan piece
}

func newPacketQueue(l *Link, d Direction, write func([]byte)) *packetQueue {
	return &packetQueue{link: l, direction: d, write: write, packets: make(chan piece, packetsInFlight)}
}

func (q *packetQueue) enqueue(packet []byte) {
	arrival, ok := q.link.transmitPacket(q.direction, packet)
	if !ok {
		return
	}
	data := append([]byte(nil), packet...)
	select {
	case q.packets <- piece{data: data, arrival: arrival}:
	default: // drop the packet, as a real link with a full queue does
	}
}

func (q *packetQueue) run(ctx context.Context) {
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
