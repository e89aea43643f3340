package drive

import sardine "sardineswitch.dev/sardine"

// SetLinks sets the one-way time of each link, to which the delay of the faults
// is added.
func (d *Driver[M]) SetLinks(link func(from, to sardine.NodeID) sardine.Millis) {
	d.link = link
}

func (d *Driver[M]) linkTime(from, to sardine.NodeID) sardine.Millis {
	if d.link == nil {
		return 0
	}
	return d.link(from, to)
}
