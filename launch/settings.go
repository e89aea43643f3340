package launch

// SettingsFile returns the path given on the command line, else the one that the
// platform names.
func SettingsFile(args []string, platform string) string {
	if len(args) > 0 {
		return args[0]
	}
	return platform
}
