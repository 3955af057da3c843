package importer

import (
	"fmt"
	"math/big"
	"regexp"
	"slices"
	"strings"
)

// maxQuantity is the largest integer that every JSON parser represents exactly (2^53-1). The API takes the document
// as JSON, and a larger number could be rounded.
const maxQuantity = 1<<53 - 1

var decimal = regexp.MustCompile(`^(-?)([0-9]{1,20}(?:\.[0-9]{1,20})?) ?([A-Za-z%]*)$`)

// unit is a unit of measure. size is its factor to the base unit.
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

// parseQuantity parses a decimal number with one of the units and converts it to the base unit without rounding.
func parseQuantity(text string, units []unit) (int64, error) {
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
	quantity, _ := new(big.Rat).SetString(parts[2])
	quantity.Mul(quantity, new(big.Rat).SetInt64(units[index].size))
	if !quantity.IsInt() {
		return 0, Error.New("%q is not a whole number of %s", text, baseUnit(units))
	}
	if !quantity.Num().IsInt64() || quantity.Num().Int64() > maxQuantity {
		return 0, Error.New("%q is too large", text)
	}
	return quantity.Num().Int64(), nil
}

func baseUnit(units []unit) string {
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
