package codes

// The result codes. 1xx: the request; 2xx: capacity; 3xx: targets; 4xx: control
// state; 5xx: settings; 6xx: storage; 7xx: keys and tokens.
const (
	OK       Code = 0
	Internal Code = 1

	BadRequest       Code = 100
	TooLarge         Code = 101
	UnknownService   Code = 102
	UnknownWorkspace Code = 103
	KeyReused        Code = 104
	KeyExpired       Code = 105
	OutcomeUnknown   Code = 106
	SlowRequest      Code = 107
	MethodNotAllowed Code = 108
	HeaderTooLarge   Code = 109

	LimitReached     Code = 200
	QueueFull        Code = 201
	DeadlineTight    Code = 202
	Draining         Code = 203
	NoLease          Code = 204
	PoisonRequest    Code = 205
	RetryBudget      Code = 206
	ClaimsFull       Code = 207
	SegmentSuspected Code = 208
	Isolated         Code = 209
	UploadsFull      Code = 210

	NoTarget      Code = 300
	TargetFailed  Code = 301
	StreamBroken  Code = 302
	EpochRefused  Code = 303
	AnswerInvalid Code = 304
	TargetFull    Code = 305
	TargetLimited Code = 306

	NotLeader     Code = 400
	NoQuorum      Code = 401
	VersionRace   Code = 402
	ChangeHeld    Code = 403
	UnknownMember Code = 404
	MemberBusy    Code = 405
	Superseded    Code = 406

	BadSettings Code = 500
	UnknownPath Code = 501
	UsageError  Code = 502

	TornTail        Code = 600
	LogDamaged      Code = 601
	DiskFull        Code = 602
	SyncFailed      Code = 603
	ForeignFolder   Code = 604
	FormatVersion   Code = 605
	InvariantBroken Code = 606

	KeyRefused   Code = 700
	ScopeRefused Code = 701
	KeysTried    Code = 702
)

var table = []Row{
	{OK, "ok", 200, "done", "nothing"},
	{Internal, "internal", 500, "an unforeseen error", "report it with the state dump of the node"},

	{BadRequest, "bad_request", 400, "the request can't be read", "correct the request as the detail says"},
	{TooLarge, "too_large", 413, "the request's body is over the limit", "send a smaller request"},
	{UnknownService, "unknown_service", 404, "no such model or service in the workspace", "check the name with sardctl get /teams/TEAM"},
	{UnknownWorkspace, "unknown_workspace", 404, "no such workspace", "check the X-Sardine-Workspace header"},
	{KeyReused, "key_reused", 422, "the idempotency key was used with another request", "use a new key for a new request"},
	{KeyExpired, "key_expired", 410, "the idempotency key is past its retention", "look up the outcome by other means before using a new key"},
	{OutcomeUnknown, "outcome_unknown", 502, "a target may have run the request", "look up the outcome before sending it again"},
	{SlowRequest, "slow_request", 408, "the request was not received in time", "send it again"},
	{MethodNotAllowed, "method_not_allowed", 405, "the path does not support this method", "use the method in the Allow header"},
	{HeaderTooLarge, "header_too_large", 431, "the request's header is over the limit", "send a smaller header"},

	{LimitReached, "limit_reached", 429, "the workspace is over its limit", "send again after the time in the Retry-After header"},
	{QueueFull, "queue_full", 503, "the queue for this class is full", "send again after the time in the Retry-After header"},
	{DeadlineTight, "deadline_tight", 504, "the request can't be answered before its deadline", "allow more time or lower the load"},
	{Draining, "draining", 503, "the entry node is shutting down", "send again, the balancer picks another node"},
	{NoLease, "no_lease", 503, "the entry node is cut off from the control quorum", "send again, the balancer picks another node"},
	{PoisonRequest, "poison_request", 422, "the request crashed the targets that ran it", "change the request, or release it with sardctl"},
	{RetryBudget, "retry_budget", 503, "too many retries are under way", "send again after the time in the Retry-After header"},
	{ClaimsFull, "claims_full", 503, "the idempotency key can't be stored because too many are kept; the request was not run", "use fewer keys a day; keys are kept for 24 hours"},
	{SegmentSuspected, "segment_suspected", 503, "a target failed while it ran a request with the same prompt segment, and no other has begun one since", "send again after the time in the Retry-After header"},
	{Isolated, "isolated", 503, "the entry node has lost its links to the targets, and no other one takes the request over", "send again, the balancer picks another node"},
	{UploadsFull, "uploads_full", 503, "the bodies of other requests take the memory for bodies; the request was not run", "send again after the time in the Retry-After header"},

	{NoTarget, "no_target", 503, "no target is available for the request", "send again after the time in the Retry-After header"},
	{TargetFailed, "target_failed", 502, "the target failed before it answered", "send again if the request is idempotent"},
	{StreamBroken, "stream_broken", 502, "the answer broke off and could not be resumed", "send again if the request is idempotent"},
	{EpochRefused, "epoch_refused", 409, "the engine has accepted a higher epoch", "nothing, the order is outdated"},
	{AnswerInvalid, "answer_invalid", 502, "the target's answer was incomplete or belongs to another request", "send again if the request is idempotent"},
	{TargetFull, "target_full", 503, "the target accepts no more requests at present", "send again after the time in the Retry-After header"},
	{TargetLimited, "target_limited", 503, "the targets limit their rate of requests, and no turn is free in time; the request was not sent", "send again after the time in the Retry-After header"},

	{NotLeader, "not_leader", 421, "this control node does not lead", "ask the leader named in the answer"},
	{NoQuorum, "no_quorum", 503, "no majority of control nodes answers", "see docs/operate/lost-quorum.md"},
	{VersionRace, "version_race", 409, "another change to the subtree came first", "read the new version, merge and send again"},
	{ChangeHeld, "change_held", 503, "the change is durable but not yet in force on every entry node", "wait, or ask for it by its change id"},
	{UnknownMember, "unknown_member", 404, "no such member", "check the name with sardctl status"},
	{MemberBusy, "member_busy", 409, "another membership change is under way", "wait until it has finished"},
	{Superseded, "superseded", 409, "a later incarnation of this node has joined", "stop this process"},

	{BadSettings, "bad_settings", 400, "the settings are not valid", "correct the places the detail names"},
	{UnknownPath, "unknown_path", 404, "no such settings path", "paths start with /teams/TEAM"},
	{UsageError, "usage_error", 400, "the command line is not valid", "see --help"},

	{TornTail, "torn_tail", 500, "the log's last record was incomplete and was removed", "nothing, it was never acknowledged"},
	{LogDamaged, "log_damaged", 500, "the log is damaged before its end", "replace this control node, see docs/operate/replace-vm.md"},
	{DiskFull, "disk_full", 507, "the disk of the data folder is full", "free space and start again"},
	{SyncFailed, "sync_failed", 500, "the disk did not confirm a write", "replace the disk, then replace this control node"},
	{ForeignFolder, "foreign_folder", 500, "the data folder belongs to another node or site", "check data_folder in the settings file"},
	{FormatVersion, "format_version", 500, "the files were written by an unknown version", "run the version that wrote them"},
	{InvariantBroken, "invariant_broken", 500, "an internal check failed and the background task stopped", "report it with the state dump of the node"},

	{KeyRefused, "key_refused", 401, "the token is missing, unknown or expired", "use a valid token"},
	{ScopeRefused, "scope_refused", 403, "the token does not permit this operation", "use a token of this team or an operator's"},
	{KeysTried, "keys_tried", 429, "too many refused tokens came from this address", "use a valid token; it is accepted at once"},
}
