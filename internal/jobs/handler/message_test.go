package handler

import (
	"errors"
	"flag"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// init fixes the seed, so that CI gives the same result in every run; -rapid.seed overrides it.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}

// Guards against a field of a wire type that is lost or changed by encoding, in transit between VMs or in the log.
func TestWireTypesRoundTrip(t *testing.T) {
	tests := map[string]reflect.Type{
		"request": reflect.TypeFor[Request](),
		"answer":  reflect.TypeFor[Response](),
		"command": reflect.TypeFor[jobkeeper.Command](),
		"result":  reflect.TypeFor[jobkeeper.Result](),
		"beat":    reflect.TypeFor[scheduler.WorkerHeartbeat](),
	}
	for name, kind := range tests {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				want, got := reflect.New(kind), reflect.New(kind)
				fill(t, want.Elem())
				data, err := encoder.Marshal(want.Interface())
				if err != nil {
					t.Fatal(err)
				}
				if err := encoder.Unmarshal(data, got.Interface()); err != nil {
					t.Fatal(err)
				}
				if !reflect.DeepEqual(got.Interface(), want.Interface()) {
					t.Errorf("got %+v, want %+v", got.Elem(), want.Elem())
				}
			})
		})
	}
}

// fill sets a value, and every exported field in it, to a generated value.
func fill(t *rapid.T, value reflect.Value) {
	if value.Type() == reflect.TypeFor[time.Time]() {
		value.Set(reflect.ValueOf(time.Unix(
			rapid.Int64Range(1, 1<<33).Draw(t, "seconds"), rapid.Int64Range(0, 999_999_999).Draw(t, "fraction"),
		).UTC()))
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for position := range value.NumField() {
			if value.Type().Field(position).IsExported() {
				fill(t, value.Field(position))
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(t, value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		for position := range value.Len() {
			fill(t, value.Index(position))
		}
	case reflect.String:
		value.SetString(rapid.StringN(1, 8, -1).Draw(t, "text"))
	case reflect.Bool:
		value.SetBool(rapid.Bool().Draw(t, "flag"))
	case reflect.Int, reflect.Int64, reflect.Int32:
		value.SetInt(int64(rapid.Int32().Draw(t, "integer")))
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint8:
		value.SetUint(uint64(rapid.Uint8().Draw(t, "natural")))
	case reflect.Float64:
		value.SetFloat(rapid.Float64Range(-1e9, 1e9).Draw(t, "fraction"))
	default:
		t.Fatalf("no generator for kind %v", value.Kind())
	}
}
