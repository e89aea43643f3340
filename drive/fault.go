package drive

import sardine "sardineswitch.dev/sardine"

// Crash crashes a node that is up.
func (d *Driver[M]) Crash(id sardine.NodeID) {
	n := d.find(id)
	if !n.up {
		return
	}
	n.up = false
	n.incarnation++
	n.crashActor()
}

// Restart restarts a node that is down.
func (d *Driver[M]) Restart(id sardine.NodeID) {
	n := d.find(id)
	if n.up {
		return
	}
	n.up = true
	n.paused = 0
	n.startActor(n.local(d.now))
	d.setTimer(n)
}

// Pause stops a node for the length. Its events wait until the pause ends.
func (d *Driver[M]) Pause(id sardine.NodeID, length sardine.Millis) {
	d.find(id).paused = d.now + length
}

// Cut drops all messages of one direction for the length.
func (d *Driver[M]) Cut(from, to sardine.NodeID, length sardine.Millis) {
	d.cuts[direction{from, to}] = d.now + length
}

// Isolate cuts all links between a node and the others, in both directions.
func (d *Driver[M]) Isolate(id sardine.NodeID, length sardine.Millis) {
	for _, n := range d.nodes {
		d.Cut(id, n.id, length)
		d.Cut(n.id, id, length)
	}
}

// StopFaults ends all present faults, prevents later ones and restarts all nodes that are
// down. Ordinary message delays and the drift of the clocks stay.
func (d *Driver[M]) StopFaults() {
	d.faults = Faults{MaxDelay: d.faults.MaxDelay}
	clear(d.cuts)
	for _, n := range d.nodes {
		n.paused = 0
		d.Restart(n.id)
	}
}

func (d *Driver[M]) scheduleDisturbance() {
	if d.faults.DisturbanceInterval <= 0 {
		return
	}
	wait := 1 + sardine.Millis(d.random.IntN(int(2*d.faults.DisturbanceInterval)))
	d.At(wait, func(sardine.Millis) {
		if d.faults.DisturbanceInterval <= 0 {
			return
		}
		d.disturb()
		d.scheduleDisturbance()
	})
}

// disturb starts one random disturbance; several may overlap.
func (d *Driver[M]) disturb() {
	if len(d.nodes) == 0 {
		return
	}
	n := d.nodes[d.random.IntN(len(d.nodes))]
	length := 1 + sardine.Millis(d.random.IntN(int(d.faults.MaxDisturbance)))
	switch d.random.IntN(5) {
	case 0, 1:
		d.crashAndRestart(n, length)
	case 2:
		if d.faults.Pauses {
			d.Pause(n.id, length)
		}
	case 3:
		if d.faults.Cuts {
			d.Cut(n.id, d.nodes[d.random.IntN(len(d.nodes))].id, length)
		}
	default:
		if d.faults.Cuts {
			d.partition(length)
		}
	}
}

func (d *Driver[M]) crashAndRestart(n *node, length sardine.Millis) {
	if !d.faults.Crashes {
		return
	}
	d.Crash(n.id)
	d.At(length/2, func(sardine.Millis) { d.Restart(n.id) })
}

// partition splits the nodes at random into two sides that can't reach each other.
func (d *Driver[M]) partition(length sardine.Millis) {
	side := make(map[sardine.NodeID]bool)
	for _, n := range d.nodes {
		side[n.id] = d.random.IntN(2) == 0
	}
	for _, a := range d.nodes {
		for _, b := range d.nodes {
			if side[a.id] != side[b.id] {
				d.Cut(a.id, b.id, length)
			}
		}
	}
}
