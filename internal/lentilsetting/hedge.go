package lentilsetting

import (
	"encoding/json"

	"lentilstair.example/lentilstair/pkg/lentilhedge"
)

// HedgeDoc is the JSON form of the settings of extra attempts at slow requests.
type HedgeDoc struct {
	Percent int `json:"percent,omitempty"`
}

var hedgeFields = []field{
	{name: "percent", description: "Highest number of extra attempts and retries per hundred attempts in one second, 0 to 20; 0 means no extra attempts.",
		example: `2`, defaultText: `0`, check: checkHedgePercent},
}

var hedgeField = field{name: "hedge", description: "Extra attempts at slow requests that may be repeated. See docs/operating/hedging.md.",
	example: `{"percent": 2}`, defaultText: "no extra attempts", members: hedgeFields}

func checkHedgePercent(c *errorCollector, path string, value any) {
	number, ok := value.(json.Number)
	if !ok {
		c.add(WrongType, path, "expected a number, got %s", typeName(value))
		return
	}
	percent, err := number.Int64()
	if err != nil || percent < 0 || percent > lentilhedge.MaxPercent {
		c.add(OutOfRange, path, "%s is not a whole number between 0 and %d", number, lentilhedge.MaxPercent)
	}
}
