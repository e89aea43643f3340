package main

// Headers and paths of the users' interface.
const (
	headerRequest     = "X-Sardineswitch-Request-Id"
	headerDeadline    = "X-Sardineswitch-Request-Deadline"
	headerStamp       = "X-Sardineswitch-Response-Stamp"
	headerExpect      = "X-Sardineswitch-Expect-Instance"
	headerTenant      = "X-Sardineswitch-Tenant"
	headerNotExecuted = "X-Sardineswitch-Not-Executed"
	headerModel       = "X-Sardineswitch-Model"
	headerTokens      = "X-Sardineswitch-Token-Counts"
	headerPrefix      = "X-Sardineswitch-Prompt-Prefix"
	headerLeaving     = "Server-Leaving"
	headerLastEvent   = "Last-Event-Id"
	headerInstance    = "X-Sardineswitch-Instance-Id"

	pathReady     = "/api/readiness"
	pathPut       = "/api/config/put"
	pathGet       = "/api/config/get"
	pathInstances = "/api/instances/"

	settingsVariable = "SARDINESWITCH_SETTINGS"
)

// Names of the small deployment that the cases run.
const (
	host    = "shop.example"
	key     = "n2ctnfzs989anu6wsjnb"
	tenant  = "hule930"
	service = "loja"
)

// Names of the engines' part of the deployment.
const (
	engineService = "lenco"
	model         = "daka510000"
	modelSize     = 4
	domain        = "d-1"
	pathOrder     = "/api/order"
)
