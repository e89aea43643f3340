package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

const (
	// formatVersion is the format version of all files in the folder.
	formatVersion = 1
	identityName  = "identity"
)

// Identity names the owner of a data folder.
type Identity struct {
	Site string
	Node sardine.NodeID
}

// match returns an error if a file has another format version or owner.
func (i Identity) match(name string, format uint32, site, node string) error {
	if format != formatVersion {
		return codes.New(codes.FormatVersion, "%s has format version %d, this program reads version %d", name, format, formatVersion)
	}
	if site != i.Site || node != string(i.Node) {
		return codes.New(codes.ForeignFolder, "%s belongs to node %s of site %s, this is node %s of site %s", name, node, site, i.Node, i.Site)
	}
	return nil
}

// checkOrWrite checks the folder's identity file, or writes it if the folder is
// empty.
func (i Identity) checkOrWrite(d sardine.Disk, names []string) error {
	if slices.Contains(names, identityName) {
		return i.verify(d)
	}
	if len(names) > 0 {
		return codes.New(codes.ForeignFolder, "the folder contains %s but no identity file", names[0])
	}
	payload, err := proto.Marshal(&wire.LogHeader{Format: formatVersion, Site: i.Site, Node: string(i.Node)})
	if err != nil {
		return codes.Wrap(codes.Internal, err, "encode identity")
	}
	return writeFileAtomically(d, identityName, appendFrame(nil, 0, payload))
}

func (i Identity) verify(d sardine.Disk) error {
	data, err := d.ReadFile(identityName)
	if err != nil {
		return err
	}
	f, ok := readFrame(data, 0)
	if !ok {
		return codes.New(codes.LogDamaged, "the identity file does not match its checksum")
	}
	found := &wire.LogHeader{}
	if err := proto.Unmarshal(f.payload, found); err != nil {
		return codes.Wrap(codes.LogDamaged, err, "identity file")
	}
	return i.match(identityName, found.GetFormat(), found.GetSite(), found.GetNode())
}
