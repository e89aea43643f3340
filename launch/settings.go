package launch

// SettingsFile returns the path given on the command line, or the platform's path if
// there is none.
func SettingsFile(args []string, platform string) string {
	if len(args) > 0 {
		return args[0]
	}
	return platform
}
