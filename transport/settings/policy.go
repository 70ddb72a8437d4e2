package settings

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"time"

	"github.com/integrii/flaggy"
)

// Tags of the fields of a policy. A field that is itself a struct has a flag only,
// which begins the names of its own fields.
const (
	tagFlag = "flag"
	tagHelp = "help"
	tagMin  = "min"
	tagMax  = "max"
)

// PolicyTable returns the settings of a policy, a pointer to a struct with tagged
// fields. The values that it holds are the defaults.
func PolicyTable(policy any) []*Setting {
	return fieldSettings(reflect.ValueOf(policy).Elem(), "")
}

// fieldSettings returns the settings of a struct's fields, their names after a prefix.
func fieldSettings(v reflect.Value, prefix string) []*Setting {
	var list []*Setting
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := prefix + field.Tag.Get(tagFlag)
		if field.Type.Kind() == reflect.Struct {
			list = append(list, fieldSettings(v.Field(i), name+"-")...)
			continue
		}
		list = append(list, fieldSetting(v.Field(i), field.Tag, name))
	}
	return list
}

// fieldSetting returns the setting of one field of a policy.
func fieldSetting(v reflect.Value, tag reflect.StructTag, name string) *Setting {
	least, most := tag.Get(tagMin), tag.Get(tagMax)
	help := tag.Get(tagHelp)
	if least != "" {
		help += ", " + least + " to " + most
	}
	s := &Setting{Flag: name, Default: fmt.Sprint(v.Interface()), Help: help}
	switch into := v.Addr().Interface().(type) {
	case *time.Duration:
		s.set = within(into, time.ParseDuration, least, most, "duration, such as 250ms,")
	case *float64:
		s.set = within(into, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }, least, most, "number")
	case *int:
		s.set = within(into, strconv.Atoi, least, most, "whole number")
	case *bool:
		s.set = func(text string) error {
			b, err := strconv.ParseBool(text)
			if err != nil {
				return fmt.Errorf("%q is neither true nor false", text)
			}
			*into = b
			return nil
		}
	default:
		panic(fmt.Sprintf("settings: %s is of a kind that no setting can be: %T", name, into))
	}
	return s
}

// within returns a function that reads a value from least to most.
func within[T time.Duration | float64 | int](into *T, parse func(string) (T, error), least, most, kind string) func(string) error {
	return func(text string) error {
		value, err := parse(text)
		low, lowErr := parse(least)
		high, highErr := parse(most)
		if lowErr != nil || highErr != nil {
			return fmt.Errorf("its bounds %q and %q are no %s", least, most, kind)
		}
		// A value that is no number (NaN) is not within any bounds either.
		inside := err == nil && value >= low && value <= high
		if !inside {
			return fmt.Errorf("%q is no %s from %s to %s", text, kind, least, most)
		}
		*into = value
		return nil
	}
}

// ParsePolicy reads a policy from flags and environment variables; the error names
// every fault. Fields without either keep their values.
func ParsePolicy(p *flaggy.Parser, policy any, args []string, lookup func(string) (string, bool)) error {
	return parse(p, PolicyTable(policy), args, lookup)
}

// PolicyFromOS reads a policy from the program's own arguments and environment.
func PolicyFromOS(p *flaggy.Parser, policy any) error {
	return ParsePolicy(p, policy, os.Args[1:], os.LookupEnv)
}
