package state

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// settingsToWire encodes the commands on entry nodes, settings, the layout, traffic
// and tokens. It reports whether c is one of them.
func settingsToWire(w *wire.Command, c Command) bool {
	switch c := c.(type) {
	case JoinEntry:
		w.Body = &wire.Command_JoinEntry{JoinEntry: entryToWire(c)}
	case LeaveEntry:
		w.Body = &wire.Command_LeaveEntry{LeaveEntry: leaveToWire(c)}
	case ChangeSettings:
		w.Body = &wire.Command_ChangeSettings{ChangeSettings: &wire.ChangeSettings{
			Team:     string(c.Team),
			Base:     uint64(c.Base),
			ChangeId: c.ChangeID,
			Document: c.Document,
			Author:   c.Author,
			Path:     c.Path,
		}}
	case PutLayout:
		w.Body = &wire.Command_PutLayout{PutLayout: layoutToWire(c)}
	case OpenTraffic:
		w.Body = &wire.Command_OpenTraffic{OpenTraffic: &wire.OpenTraffic{}}
	case PutToken:
		w.Body = &wire.Command_PutToken{PutToken: tokenToWire(c.Token)}
	case DropToken:
		w.Body = &wire.Command_DropToken{DropToken: &wire.DropToken{Hash: c.Hash}}
	default:
		return false
	}
	return true
}

func settingsFromWire(w *wire.Command) Command {
	switch b := w.GetBody().(type) {
	case *wire.Command_JoinEntry:
		return entryFromWire(b.JoinEntry)
	case *wire.Command_LeaveEntry:
		return LeaveEntry{
			Node:        sardine.NodeID(b.LeaveEntry.GetNode()),
			Incarnation: sardine.Incarnation(b.LeaveEntry.GetIncarnation()),
			Spent:       spentFromWire(b.LeaveEntry.GetSpent()),
		}
	case *wire.Command_ChangeSettings:
		return ChangeSettings{
			Team:     sardine.Team(b.ChangeSettings.GetTeam()),
			Base:     sardine.Version(b.ChangeSettings.GetBase()),
			ChangeID: b.ChangeSettings.GetChangeId(),
			Document: b.ChangeSettings.GetDocument(),
			Author:   b.ChangeSettings.GetAuthor(),
			Path:     b.ChangeSettings.GetPath(),
		}
	case *wire.Command_PutLayout:
		return layoutFromWire(b.PutLayout)
	case *wire.Command_OpenTraffic:
		return OpenTraffic{}
	case *wire.Command_PutToken:
		return PutToken{Token: tokenFromWire(b.PutToken)}
	case *wire.Command_DropToken:
		return DropToken{Hash: b.DropToken.GetHash()}
	default:
		return nil
	}
}

func entryToWire(e JoinEntry) *wire.JoinEntry {
	return &wire.JoinEntry{
		Node:        string(e.Node),
		Incarnation: uint64(e.Incarnation),
		Address:     e.Address,
		DataCentre:  string(e.DataCentre),
	}
}

func entryFromWire(w *wire.JoinEntry) JoinEntry {
	return JoinEntry{
		Node:        sardine.NodeID(w.GetNode()),
		Incarnation: sardine.Incarnation(w.GetIncarnation()),
		Address:     w.GetAddress(),
		DataCentre:  sardine.DataCentre(w.GetDataCentre()),
	}
}

func leaveToWire(c LeaveEntry) *wire.LeaveEntry {
	return &wire.LeaveEntry{Node: string(c.Node), Incarnation: uint64(c.Incarnation), Spent: spentToWire(c.Spent)}
}

func tokenToWire(t Token) *wire.Token {
	return &wire.Token{Hash: t.Hash, Scope: t.Scope, Name: t.Name, Expires: int64(t.Expires)}
}

func tokenFromWire(w *wire.Token) Token {
	return Token{Hash: w.GetHash(), Scope: w.GetScope(), Name: w.GetName(), Expires: WallTime(w.GetExpires())}
}
