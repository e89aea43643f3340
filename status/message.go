package status

// The types of this file are the JSON form of a report.

type conditionMessage struct {
	State  string `json:"state"`
	Good   bool   `json:"good"`
	Since  int64  `json:"since_ms"` // since the Unix epoch
	System string `json:"system"`
	Person string `json:"person"`
}

type checkMessage struct {
	Name   string `json:"name"`
	Passed bool   `json:"held"`
	Detail string `json:"detail"`
}

type serviceMessage struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
}

type teamMessage struct {
	Name      string           `json:"name"`
	Version   uint64           `json:"version"`
	Services  []serviceMessage `json:"services"`
	Condition conditionMessage `json:"condition"`
}

type memberMessage struct {
	VM      string `json:"vm"`
	Rank    int    `json:"rank"`
	Present bool   `json:"present"`
}

type groupMessage struct {
	ID        string           `json:"id"`
	Epoch     uint64           `json:"epoch"`
	Team      string           `json:"team"`
	Service   string           `json:"service"`
	Domain    string           `json:"domain"`
	Members   []memberMessage  `json:"members"`
	Condition conditionMessage `json:"condition"`
}

type targetMessage struct {
	VM              string           `json:"vm"`
	Incarnation     uint64           `json:"incarnation"`
	Kind            string           `json:"kind"`
	DataCentre      string           `json:"data_centre"`
	Domain          string           `json:"domain"`
	Service         string           `json:"service"`
	Group           string           `json:"group"`
	Accelerators    int              `json:"accelerators"`
	Running         int              `json:"running"`
	Queued          int              `json:"queued"`
	TokensPerSecond float64          `json:"tokens_per_second"`
	Condition       conditionMessage `json:"condition"`
}

type entryMessage struct {
	Node       string           `json:"node"`
	DataCentre string           `json:"data_centre"`
	Address    string           `json:"address"`
	Applied    uint64           `json:"applied"`
	Condition  conditionMessage `json:"condition"`
}

type controlMessage struct {
	Node      string           `json:"node"`
	Address   string           `json:"address"`
	Leader    bool             `json:"leader"`
	Learner   bool             `json:"learner"`
	Applied   uint64           `json:"applied"`
	Condition conditionMessage `json:"condition"`
}

type poisonMessage struct {
	Fingerprint string           `json:"fingerprint"`
	Targets     []string         `json:"targets"`
	Condition   conditionMessage `json:"condition"`
}

type reportMessage struct {
	Node     string           `json:"node"`
	Role     string           `json:"role"`
	Site     string           `json:"site"`
	At       int64            `json:"at_ms"` // since the Unix epoch
	Applied  uint64           `json:"applied"`
	Leader   string           `json:"leader"`
	Held     bool             `json:"held"`
	Checks   []checkMessage   `json:"checks"`
	Teams    []teamMessage    `json:"teams"`
	Groups   []groupMessage   `json:"groups"`
	Targets  []targetMessage  `json:"targets"`
	Entries  []entryMessage   `json:"entries"`
	Controls []controlMessage `json:"controls"`
	Poisons  []poisonMessage  `json:"poisons"`
}
