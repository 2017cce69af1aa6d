package lentilsetting

// The examples below are valid values in JSON. The page docs/settings.md is
// generated from these tables.

var platformFields = []field{
	{name: "url", description: "Base URL of the platform's object API.", example: `"http://10.0.0.9:8080"`, required: true, check: checkURL},
	{name: "tokenFile", description: "File with the bearer token for the platform's object API.", example: `"/etc/lentilstair/token"`,
		defaultText: "no token", check: checkFilePath},
}

var keyFields = []field{
	{name: "id", description: "Number of the secret, 0 to 255. It must be unique in the list.", example: `1`, required: true, check: checkKeyID},
	{name: "secretFile", description: "File with the secret in base64. Either this or `secret` is required.", example: `"/etc/lentilstair/key-1"`,
		defaultText: "none", check: checkFilePath},
	{name: "secret", description: "The secret in base64. It must have at least 16 random bytes.", example: `"c2l4dGVlbiBieXRlcyBhdCBsZWFzdA=="`,
		defaultText: "none", check: checkSecret},
}

var logFields = []field{
	{name: "level", description: "Minimum level of logged events: debug, info, warn or error.", example: `"info"`, defaultText: `"info"`, check: checkLevel},
}

var tlsFields = []field{
	{name: "certificateFile", description: "Certificate chain in PEM that is presented to callers. It is reloaded when the file changes.", example: `"/etc/lentilstair/cert.pem"`,
		required: true, check: checkFilePath},
	{name: "keyFile", description: "Private key of the certificate in PEM.", example: `"/etc/lentilstair/key.pem"`, required: true, check: checkFilePath},
}

var (
	domainField = field{name: "domain", description: "Name of the VM's failure domain in the configuration.",
		example: `"palermo"`, required: true, check: checkName}
	tunnelField = field{name: "tunnelAddress", description: "IPv4 address and UDP port for packets between balancers and agents.",
		example: `"10.0.0.1:9002"`, required: true, check: checkIPv4Address}
	controlField = field{name: "controlAddress", description: "Address and TCP port for control calls from other processes of the system.",
		example: `"10.0.0.1:9001"`, required: true, check: checkReachableAddress}
	adminField = field{name: "adminAddress", description: "Address and TCP port of /ready, /live and /metrics; in the settings of packet flows, of the readiness check alone. They use plain HTTP, so keep the address inside your network.",
		example: `"10.0.0.1:9000"`, required: true, check: checkAddress}
	keysField = field{name: "keys", description: "The shared secrets. The first one signs, all of them verify. See docs/operating/keys-and-certificates.md.",
		example: `[{"id": 1, "secretFile": "/etc/lentilstair/key-1"}]`, required: true, isList: true, members: keyFields}
	logField = field{name: "log", description: "Log settings.", example: `{"level": "info"}`, defaultText: `{"level": "info"}`, members: logFields}
)

var balancerFields = []field{
	{name: "name", description: "Name of the balancer, unique among balancers.", example: `"entry-1"`, required: true, check: checkName},
	domainField,
	{name: "listenAddress", description: "IP address at which the fabric delivers packets. The balancer binds the port of each service's address on it.",
		example: `"10.0.0.1"`, required: true, check: checkIP},
	tunnelField,
	controlField,
	adminField,
	{name: "platform", description: "The platform's object API.", example: `{"url": "http://10.0.0.9:8080"}`, required: true, members: platformFields},
	{name: "peers", description: "Control addresses of some other balancers, from which the balancer learns the rest.", example: `["10.0.0.2:9001", "10.0.0.3:9001"]`,
		defaultText: "none: the balancer runs alone", isList: true, check: checkReachableAddress},
	keysField,
	{name: "stopGrace", description: "How long the balancer keeps forwarding during a graceful stop, after it reports that it is not ready. Choose a longer time than the " +
		"fabric needs to detect this.", example: `"30s"`, defaultText: `"30s"`, check: checkDuration},
	logField,
}

var agentFields = []field{
	{name: "copy", description: "Name, in the configuration, of the copy that the agent serves.", example: `"iscrizioni-3"`, required: true, check: checkName},
	{name: "service", description: "Name, in the configuration, of the service that the copy belongs to.", example: `"iscrizioni"`, required: true, check: checkName},
	domainField,
	tunnelField,
	controlField,
	adminField,
	{name: "upstream", description: "URL of the copy.", example: `"http://127.0.0.1:8080"`, required: true, check: checkURL},
	{name: "balancers", description: "Control addresses of some balancers, from which the others are learned.", example: `["10.0.0.1:9001", "10.0.0.2:9001"]`,
		required: true, isList: true, check: checkReachableAddress},
	keysField,
	{name: "tls", description: "Certificate that is presented to callers.", example: `{"certificateFile": "cert.pem", "keyFile": "key.pem"}`, required: true, members: tlsFields},
	{name: "drainLimit", description: "How long a graceful stop waits for open flows and requests. Those still open after that are aborted.", example: `"10m"`,
		defaultText: `"10m"`, check: checkDuration},
	{name: "handOff", description: "Whether new flows, and requests that have not started, are passed to a peer with more free capacity: \"on\" or \"off\".", example: `"on"`,
		defaultText: `"on"`, check: checkHandOff},
	hedgeField,
	logField,
}

var operatorFields = []field{
	{name: "author", description: "Author of the release notes that `drain` and `restore` create.", example: `"rosalia"`,
		defaultText: "the flag --author is required", check: checkName},
	{name: "platform", description: "The platform's object API.", example: `{"url": "http://10.0.0.9:8080"}`, required: true, members: platformFields},
	{name: "balancers", description: "Control addresses of some balancers, from which the others are learned.", example: `["10.0.0.1:9001", "10.0.0.2:9001"]`,
		required: true, isList: true, check: checkReachableAddress},
	keysField,
}
