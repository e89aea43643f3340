package drive

import sardine "sardineswitch.dev/sardine"

// SetLinks sets the one-way latency of each link. The random delay of Faults is added
// to it.
func (d *Driver[M]) SetLinks(link func(from, to sardine.NodeID) sardine.Millis) {
	d.link = link
}

func (d *Driver[M]) linkTime(from, to sardine.NodeID) sardine.Millis {
	if d.link == nil {
		return 0
	}
	return d.link(from, to)
}
