package lentilsetting

// The examples below are right values in JSON. The page docs/settings.md is
// made from these tables.

var platformFields = []field{
	{name: "url", description: "Where the platform's object API answers.", example: `"http://10.0.0.9:8080"`, required: true, check: checkURL},
	{name: "tokenFile", description: "File with the token that the platform asks for; sent as a bearer token.", example: `"/etc/lentilstair/token"`,
		defaultText: "no token", check: checkFilePath},
}

var keyFields = []field{
	{name: "id", description: "Number of the secret, 0 to 255; unique in the list.", example: `1`, required: true, check: checkKeyID},
	{name: "secretFile", description: "File with the secret in base64. Either this or `secret` is needed.", example: `"/etc/lentilstair/key-1"`,
		defaultText: "none", check: checkFilePath},
	{name: "secret", description: "The secret itself in base64: at least 16 random bytes.", example: `"c2l4dGVlbiBieXRlcyBhdCBsZWFzdA=="`,
		defaultText: "none", check: checkSecret},
}

var logFields = []field{
	{name: "level", description: "The least urgent level that is logged: debug, info, warn or error.", example: `"info"`, defaultText: `"info"`, check: checkLevel},
}

var tlsFields = []field{
	{name: "certificateFile", description: "Certificate chain in PEM that callers see. Read again when it changes.", example: `"/etc/lentilstair/cert.pem"`,
		required: true, check: checkFilePath},
	{name: "keyFile", description: "Private key of the certificate in PEM.", example: `"/etc/lentilstair/key.pem"`, required: true, check: checkFilePath},
}

var (
	domainField = field{name: "domain", description: "The failure domain in which the VM stands, as the configuration names it.",
		example: `"palermo"`, required: true, check: checkName}
	tunnelField = field{name: "tunnelAddress", description: "IPv4 address and UDP port on which packets of flows travel between balancers and agents.",
		example: `"10.0.0.1:9002"`, required: true, check: checkIPv4Address}
	controlField = field{name: "controlAddress", description: "Address and TCP port for calls of other processes of the system.",
		example: `"10.0.0.1:9001"`, required: true, check: checkReachableAddress}
	adminField = field{name: "adminAddress", description: "Address and TCP port of /ready, /live and /metrics. Plain HTTP: keep it inside your network.",
		example: `"10.0.0.1:9000"`, required: true, check: checkAddress}
	keysField = field{name: "keys", description: "The shared secrets, the one that signs first; all of them verify. See docs/operating/keys-and-certificates.md.",
		example: `[{"id": 1, "secretFile": "/etc/lentilstair/key-1"}]`, required: true, isList: true, members: keyFields}
	logField = field{name: "log", description: "What is logged.", example: `{"level": "info"}`, defaultText: `{"level": "info"}`, members: logFields}
)

var balancerFields = []field{
	{name: "name", description: "Name of the balancer, unique among balancers.", example: `"entry-1"`, required: true, check: checkName},
	domainField,
	{name: "listenAddress", description: "IP address on which the fabric hands over packets. The balancer binds the port of each service's address here.",
		example: `"10.0.0.1"`, required: true, check: checkIP},
	tunnelField,
	controlField,
	adminField,
	{name: "platform", description: "The platform's object API.", example: `{"url": "http://10.0.0.9:8080"}`, required: true, members: platformFields},
	{name: "peers", description: "Control addresses of some other balancers. The rest are learned from them.", example: `["10.0.0.2:9001", "10.0.0.3:9001"]`,
		defaultText: "none: the balancer is alone", isList: true, check: checkReachableAddress},
	keysField,
	{name: "stopGrace", description: "How long a graceful stop goes on forwarding after the balancer says that it is not ready. Longer than the " +
		"fabric takes to notice.", example: `"30s"`, defaultText: `"30s"`, check: checkDuration},
	logField,
}

var agentFields = []field{
	{name: "copy", description: "Name of the copy beside the agent, as the configuration names it.", example: `"iscrizioni-3"`, required: true, check: checkName},
	{name: "service", description: "The service that the copy serves, as the configuration names it.", example: `"iscrizioni"`, required: true, check: checkName},
	domainField,
	tunnelField,
	controlField,
	adminField,
	{name: "upstream", description: "URL of the copy.", example: `"http://127.0.0.1:8080"`, required: true, check: checkURL},
	{name: "balancers", description: "Control addresses of some balancers. The rest are learned from them.", example: `["10.0.0.1:9001", "10.0.0.2:9001"]`,
		required: true, isList: true, check: checkReachableAddress},
	keysField,
	{name: "tls", description: "Certificate towards callers.", example: `{"certificateFile": "cert.pem", "keyFile": "key.pem"}`, required: true, members: tlsFields},
	{name: "drainLimit", description: "How long a graceful stop waits for open flows and requests. What is still open then is cut.", example: `"10m"`,
		defaultText: `"10m"`, check: checkDuration},
	{name: "handOff", description: "Whether new flows, and requests that have not begun, go to a peer with more room: \"on\" or \"off\".", example: `"on"`,
		defaultText: `"on"`, check: checkHandOff},
	logField,
}

var operatorFields = []field{
	{name: "author", description: "Who answers for the notes that `drain` and `restore` make.", example: `"rosalia"`,
		defaultText: "the flag --author is needed", check: checkName},
	{name: "platform", description: "The platform's object API.", example: `{"url": "http://10.0.0.9:8080"}`, required: true, members: platformFields},
	{name: "balancers", description: "Control addresses of some balancers. The rest are learned from them.", example: `["10.0.0.1:9001", "10.0.0.2:9001"]`,
		required: true, isList: true, check: checkReachableAddress},
	keysField,
}
