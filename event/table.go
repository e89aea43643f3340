package event

import "log/slog"

// The events. 1xx: process; 2xx: quorum and storage; 3xx: settings and their
// distribution; 4xx: targets and groups; 5xx: requests; 6xx: keys and tokens.
const (
	NodeStarted     ID = 100
	NodeReady       ID = 101
	NodeUnready     ID = 102
	DrainStarted    ID = 103
	DrainEnded      ID = 104
	NodeStopped     ID = 105
	InvariantBroken ID = 106
	DutyFailed      ID = 107
	SettingsRead    ID = 108
	SettingsRefused ID = 109
	NodeIsolated    ID = 110
	NodeReconnected ID = 111
	LeaderChanged   ID = 200
	TailCut         ID = 201
	StorageFailed   ID = 202
	SnapshotTaken   ID = 203
	SnapshotInstall ID = 204
	PeerUnreachable ID = 205
	MembersChanged  ID = 206
	DiskFull        ID = 207
	DiskRoom        ID = 208
	EnrolWaits      ID = 209
	QuorumMargin    ID = 210
	LeaderMissing   ID = 211
	ChangeAccepted  ID = 300
	ChangeRefused   ID = 301
	EntryJoined     ID = 302
	EntryLeft       ID = 303
	LeaseLapsed     ID = 304
	LeaseGained     ID = 305
	LayoutInForce   ID = 306
	FollowLost      ID = 307
	FollowRegained  ID = 308
	WitnessLost     ID = 309
	WitnessRegained ID = 310
	HearingLost     ID = 311
	HearingRegained ID = 312
	SettingsStale   ID = 313
	SettingsFresh   ID = 314
	ControlLoad     ID = 315
	TargetSeen      ID = 400
	TargetLost      ID = 401
	TargetLeaving   ID = 402
	GroupAssigned   ID = 403
	GroupServing    ID = 404
	GroupDegraded   ID = 405
	GroupReleased   ID = 406
	OrderFailed     ID = 407
	TargetStalled   ID = 408
	GroupDissolved  ID = 409
	ModelStaged     ID = 410
	TargetEnded     ID = 411
	TargetLimited   ID = 412
	LimitInvalid    ID = 413
	RequestRefused  ID = 500
	RequestFailed   ID = 501
	StreamResumed   ID = 502
	RequestPoison   ID = 503
	AttemptFailed   ID = 504
	RequestServed   ID = 505
	RequestLate     ID = 506
	RequestLeft     ID = 507
	RequestStruck   ID = 508
	RequestCleared  ID = 509
	RequestTried    ID = 510
	RepeatsCounted  ID = 511
	RepeatsShared   ID = 512
	SegmentStruck   ID = 513
	SegmentCleared  ID = 514
	SegmentProbed   ID = 515
	HandoverFailed  ID = 516
	PassFailed      ID = 517
	PeerUnsound     ID = 518
	KeyRefused      ID = 600
	KeysReloaded    ID = 601
)

var table = []Row{
	{NodeStarted, "node_started", slog.LevelInfo, "the process listens on its addresses", "nothing"},
	{NodeReady, "node_ready", slog.LevelInfo, "the node accepts work", "nothing"},
	{NodeUnready, "node_unready", slog.LevelWarn, "the node refuses new work", "see the reason attribute"},
	{DrainStarted, "drain_started", slog.LevelInfo, "a graceful shutdown began", "nothing"},
	{DrainEnded, "drain_ended", slog.LevelInfo, "all requests in flight have ended", "nothing"},
	{NodeStopped, "node_stopped", slog.LevelInfo, "the process exits", "nothing"},
	{InvariantBroken, "invariant_broken", slog.LevelError, "an internal check failed and the background task stopped", "report it with the state dump of the node"},
	{DutyFailed, "duty_failed", slog.LevelError, "a background task failed", "see the error attribute"},
	{SettingsRead, "settings_read", slog.LevelInfo, "the settings file was read again", "nothing"},
	{SettingsRefused, "settings_refused", slog.LevelWarn, "the changed settings file can't be read or has errors; the node keeps its settings", "see the error attribute"},
	{NodeIsolated, "node_isolated", slog.LevelWarn, "the entry node reaches no target, while callers may reach it; what it observes of targets does not count", "check the network between this node and the targets"},
	{NodeReconnected, "node_reconnected", slog.LevelInfo, "the entry node reaches targets again", "nothing"},
	{LeaderChanged, "leader_changed", slog.LevelInfo, "a control node leads in a new term", "nothing"},
	{TailCut, "tail_cut", slog.LevelWarn, "an incomplete record at the log's end was removed", "nothing, it was never acknowledged"},
	{StorageFailed, "storage_failed", slog.LevelError, "the data folder can't be used", "see the error attribute"},
	{SnapshotTaken, "snapshot_taken", slog.LevelInfo, "the state was written to a snapshot", "nothing"},
	{SnapshotInstall, "snapshot_install", slog.LevelInfo, "a snapshot from the leader replaced the state", "nothing"},
	{PeerUnreachable, "peer_unreachable", slog.LevelWarn, "a control node does not answer", "check that VM and the network to it"},
	{MembersChanged, "members_changed", slog.LevelInfo, "the list of control members has changed", "nothing"},
	{DiskFull, "disk_full", slog.LevelError, "the disk of the data folder is full; this control node acknowledges nothing until there is free space", "free disk space, see docs/operate/full-disk.md"},
	{DiskRoom, "disk_room", slog.LevelInfo, "the disk accepts writes again", "nothing"},
	{EnrolWaits, "enrol_waits", slog.LevelWarn, "no known control node accepts this one as a member; it keeps asking", "check the network to the seeds, and the seeds in the settings"},
	{QuorumMargin, "quorum_margin", slog.LevelInfo, "how many voters there are, how many of them answer the leader, and how many it needs", "with as many as are needed, one more loss stops all changes: start or replace the voters that do not answer"},
	{LeaderMissing, "leader_missing", slog.LevelWarn, "this control node has known no leader for some seconds; how many voters there are, how many answer it, how many are needed, and which are silent", "start or replace the silent voters, see docs/operate/lost-quorum.md; if enough answer, check the network among them"},
	{ChangeAccepted, "change_accepted", slog.LevelInfo, "a settings change is in force on every entry node", "nothing"},
	{ChangeRefused, "change_refused", slog.LevelInfo, "a settings change was refused", "see the error attribute"},
	{EntryJoined, "entry_joined", slog.LevelInfo, "an entry node joined", "nothing"},
	{EntryLeft, "entry_left", slog.LevelInfo, "an entry node left", "nothing"},
	{LeaseLapsed, "lease_lapsed", slog.LevelWarn, "the serving lease expired; new requests are refused", "check the network to the control nodes"},
	{LeaseGained, "lease_gained", slog.LevelInfo, "the node holds a serving lease", "nothing"},
	{LayoutInForce, "layout_in_force", slog.LevelInfo, "an entry node uses a new layout", "nothing"},
	{FollowLost, "follow_lost", slog.LevelWarn, "the control node or relay that the node follows does not answer or does not lead; another one is polled", "check the control nodes if follow_regained does not follow"},
	{FollowRegained, "follow_regained", slog.LevelInfo, "the node follows the log again", "nothing"},
	{SettingsStale, "settings_stale", slog.LevelWarn, "the entry node's copy of the control state was last confirmed as current by a leader longer ago than a relay may forward it", "check the control nodes if settings_fresh does not follow"},
	{SettingsFresh, "settings_fresh", slog.LevelInfo, "a leader has confirmed the entry node's copy of the control state as current again", "nothing"},
	{WitnessLost, "witness_lost", slog.LevelWarn, "the control leader does not accept the entry node's reports on target health", "check the control nodes if witness_regained does not follow"},
	{WitnessRegained, "witness_regained", slog.LevelInfo, "the control leader accepts the reports on target health again", "nothing"},
	{HearingLost, "hearing_lost", slog.LevelWarn, "the leader does not acknowledge this control node's reports on targets, or has not done so within 5 s of the start; the targets are redirected to other control nodes", "check the control nodes if hearing_regained does not follow"},
	{HearingRegained, "hearing_regained", slog.LevelInfo, "the leader acknowledges the reports on targets again", "nothing"},
	{ControlLoad, "control_load", slog.LevelInfo, "what this control node has taken and done in the last 10 s; a node that refuses what others take has no contact with the leader", "see hearing_lost and docs/OPERATIONS.md if the control nodes differ by much"},
	{TargetSeen, "target_seen", slog.LevelInfo, "a target announced itself", "nothing"},
	{TargetLost, "target_lost", slog.LevelWarn, "a target stopped announcing itself", "check that VM"},
	{TargetLeaving, "target_leaving", slog.LevelInfo, "a target announced that it leaves", "nothing"},
	{GroupAssigned, "group_assigned", slog.LevelInfo, "members were assigned to a group", "nothing"},
	{GroupServing, "group_serving", slog.LevelInfo, "a group serves; the serving attribute is how many groups of its deployment do", "nothing"},
	{GroupDegraded, "group_degraded", slog.LevelWarn, "a group lost a member and stopped serving", "see sardctl explain group"},
	{GroupReleased, "group_released", slog.LevelInfo, "the members of a dissolved group have left it and are free", "nothing"},
	{OrderFailed, "order_failed", slog.LevelWarn, "an engine did not accept an order", "check that VM"},
	{TargetStalled, "target_stalled", slog.LevelWarn, "a target with requests in flight stopped making progress; the requests move to other targets", "nothing if its group is repaired soon"},
	{GroupDissolved, "group_dissolved", slog.LevelInfo, "a group is dissolved; its members are ordered to leave it", "see the why attribute"},
	{ModelStaged, "model_staged", slog.LevelInfo, "a VM without a group is ordered to load a model into its host memory", "nothing"},
	{TargetEnded, "target_ended", slog.LevelWarn, "a target's process exited while it ran requests", "compare the fingerprints of its attempt_failed lines"},
	{TargetLimited, "target_limit_changed", slog.LevelInfo, "a target has stated, changed or removed the rate of requests that it takes; -1 stands for no limit, and the source is an answer of its own or the control leader", "look after the target if the limit stays"},
	{LimitInvalid, "target_limit_invalid", slog.LevelWarn, "a target has stated a rate of requests that is no number of 0 or more; it is ignored", "correct the target"},
	{RequestRefused, "request_refused", slog.LevelInfo, "a request was refused before it ran", "see the code attribute"},
	{RequestFailed, "request_failed", slog.LevelWarn, "a request failed after it was dispatched", "see the code attribute"},
	{StreamResumed, "stream_resumed", slog.LevelInfo, "a broken answer was resumed at its last token", "nothing"},
	{RequestPoison, "request_poison", slog.LevelError, "a request crashed the targets that ran it and is refused", "see sardctl poison"},
	{AttemptFailed, "attempt_failed", slog.LevelInfo, "a target did not answer a request in full", "see the code and target attributes"},
	{HandoverFailed, "handover_failed", slog.LevelInfo, "a request should leave its target for the reason given and no other target has taken it over; it stays, and tries so again", "see the reason and error attributes"},
	{PassFailed, "pass_failed", slog.LevelInfo, "a request that was passed to another entry node was not taken over, was refused there, or its answer broke off", "see the peer and error attributes"},
	{PeerUnsound, "peer_unsound", slog.LevelInfo, "another entry node can't take over requests of this one, which may have lost its links to the targets", "see the error attribute"},
	{RequestServed, "request_served", slog.LevelInfo, "a request was answered in full; only a sample, selected by request id, is logged", "nothing"},
	{RequestLate, "request_late", slog.LevelInfo, "the first piece of an answer came too late, or a pause between two pieces was too long, for its route's objectives", "see sardctl losses"},
	{RequestLeft, "request_left", slog.LevelInfo, "a caller disconnected, or its deadline passed, before its answer was complete", "see sardctl losses"},
	{RequestStruck, "request_struck", slog.LevelWarn, "a target failed while it ran the request, and the request has not completed on another one", "see the known attribute and sardctl poison"},
	{RequestCleared, "request_cleared", slog.LevelInfo, "a request with strikes completed; its strikes are withdrawn", "nothing"},
	{RequestTried, "request_tried", slog.LevelInfo, "a refused request is run once more to check whether it was refused wrongly", "nothing"},
	{RepeatsCounted, "repeats_counted", slog.LevelInfo, "the requests and retries of a service on this node in one second, as the retry limit counts them; one line a second while the limit's window contains retries or denied ones", "sum them over the nodes with sardctl repeats"},
	{RepeatsShared, "repeats_shared", slog.LevelInfo, "the node's share of the retry allowance of all entry nodes has changed", "nothing"},
	{SegmentStruck, "segment_struck", slog.LevelWarn, "a target failed before it began to answer a request with the prompt segment, which is not known to work", "see the known attribute; requests with the segment are refused after three failures"},
	{SegmentCleared, "segment_cleared", slog.LevelInfo, "a target has begun to answer a request with a struck segment; its strikes are withdrawn", "nothing"},
	{SegmentProbed, "segment_probed", slog.LevelInfo, "a request is sent to find out whether a struck segment makes targets fail; others with the segment wait", "nothing"},
	{KeyRefused, "key_refused", slog.LevelWarn, "a token was refused", "see the reason attribute"},
	{KeysReloaded, "keys_reloaded", slog.LevelInfo, "certificates and tokens were read again", "nothing"},
}
