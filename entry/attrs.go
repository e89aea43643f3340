package entry

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/guard"
)

func requestAttr(id sardine.RequestID) slog.Attr {
	return slog.String("request", string(id))
}

func vmAttr(vm sardine.VMID) slog.Attr {
	return slog.String("vm", string(vm))
}

func groupAttr(id sardine.GroupID) slog.Attr {
	return slog.String("group", string(id))
}

func codeAttr(err error) slog.Attr {
	return slog.Group("error", slog.Int("code", int(codes.Of(err))), slog.String("detail", err.Error()))
}

func ranAttr(r sardine.Ran) slog.Attr {
	return slog.String("ran", r.String())
}

// poisonAttr identifies a request by what targets run, so that a request has
// the same fingerprint each time a caller sends it.
func poisonAttr(f guard.Fingerprint) slog.Attr {
	return slog.String("fingerprint", f.String())
}

func tokensAttr(n int) slog.Attr {
	return slog.Int("tokens", n)
}
