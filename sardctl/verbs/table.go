package verbs

// Table returns all commands in the order of the help text.
func Table() []Verb {
	return []Verb{
		statusVerb(),
		groupsVerb(),
		targetsVerb(),
		explainVerb(),
		lossesVerb(),
		spreadVerb(),
		repeatsVerb(),
		watchVerb(),
		dumpVerb(),
		doctorVerb(),
		getVerb(),
		setVerb(),
		deleteVerb(),
		diffVerb(),
		historyVerb(),
		rollbackVerb(),
		teamsVerb(),
		backupVerb(),
		restoreVerb(),
		drainVerb(),
		leaveVerb(),
		poisonVerb(),
		membersVerb(),
		keysVerb(),
		demoVerb(),
		docsVerb(),
		versionVerb(),
	}
}

// Sections returns the sections in the order of the help text.
func Sections() []Section {
	return []Section{SectionSite, SectionSettings, SectionRepair, SectionKeys, SectionOther}
}
