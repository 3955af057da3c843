package importer

import (
	"fmt"
	"math/big"
	"regexp"
	"slices"
	"strings"
)

// maxAmount is the largest whole number that is exact in every JSON reader (2^53-1). The API takes the
// document as JSON, and a larger number would be rounded on its way.
const maxAmount = 1<<53 - 1

var decimal = regexp.MustCompile(`^(-?)([0-9]{1,20}(?:\.[0-9]{1,20})?) ?([A-Za-z%]*)$`)

// unit is a unit with its size.
type unit struct {
	name string
	size int64
}

var (
	coreUnits   = []unit{{"", 1000}, {"m", 1}}
	memoryUnits = []unit{
		{"B", 1},
		{"kB", 1e3},
		{"MB", 1e6},
		{"GB", 1e9},
		{"TB", 1e12},
		{"KiB", 1 << 10},
		{"MiB", 1 << 20},
		{"GiB", 1 << 30},
		{"TiB", 1 << 40},
	}
	countUnits = []unit{{"", 1}}
)

// parseAmount reads a number with one of the units, exactly. The error says what is wrong.
func parseAmount(text string, units []unit) (int64, error) {
	parts := decimal.FindStringSubmatch(text)
	if parts == nil {
		return 0, Error.New("%q is not a number such as 4 or 0.5%s", text, unitHint(units))
	}
	index := slices.IndexFunc(units, func(unit unit) bool { return unit.name == parts[3] })
	if index < 0 {
		if parts[3] == "" {
			return 0, Error.New("%q has no unit%s", text, unitHint(units))
		}
		return 0, Error.New("%q has the wrong unit %q%s", text, parts[3], unitHint(units))
	}
	if parts[1] != "" {
		return 0, Error.New("%q is negative", text)
	}
	amount, _ := new(big.Rat).SetString(parts[2])
	amount.Mul(amount, new(big.Rat).SetInt64(units[index].size))
	if !amount.IsInt() {
		return 0, Error.New("%q is not a whole number of %s", text, smallest(units))
	}
	if !amount.Num().IsInt64() || amount.Num().Int64() > maxAmount {
		return 0, Error.New("%q is too large", text)
	}
	return amount.Num().Int64(), nil
}

func smallest(units []unit) string {
	switch units[0].size {
	case 1000:
		return "thousandths of a core"
	default:
		if len(units) > 1 {
			return "bytes"
		}
		return "pieces"
	}
}

func unitHint(units []unit) string {
	if len(units) == 1 {
		return "; it takes no unit"
	}
	var names []string
	for _, unit := range units {
		if unit.name == "" {
			names = append(names, "none")
		} else {
			names = append(names, unit.name)
		}
	}
	return fmt.Sprintf("; known units are %s", strings.Join(names, ", "))
}
