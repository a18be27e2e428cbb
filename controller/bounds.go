package controller

import (
	"fmt"
	"reflect"

	"celeryvalve/explainer"
)

const (
	// MaximumText is the longest text in a command, in bytes. Bytes of patches and
	// answers have bounds of their own.
	MaximumText = 256
	// MaximumElements is the longest list or table in a command.
	MaximumElements = 1024
)

// checkBounds rejects a command that would make the state larger than its
// snapshot's frames can hold.
func checkBounds(command any) *Rejected {
	if problem := exceeds(reflect.ValueOf(command).Elem()); problem != "" {
		return &Rejected{Kind: explainer.InvalidInput, Problem: problem,
			Remedy: fmt.Sprintf("send names of up to %d bytes and up to %d of them", MaximumText, MaximumElements)}
	}
	return nil
}

// exceeds returns what is too large in the value, or nothing.
func exceeds(value reflect.Value) string {
	switch value.Kind() {
	case reflect.String:
		if value.Len() > MaximumText {
			return fmt.Sprintf("a text has %d bytes", value.Len())
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if problem := exceeds(value.Field(i)); problem != "" {
				return fmt.Sprintf("%s: %s", value.Type().Field(i).Name, problem)
			}
		}
	case reflect.Slice, reflect.Map:
		return exceedsElements(value)
	}
	return ""
}

func exceedsElements(value reflect.Value) string {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		return ""
	}
	if value.Len() > MaximumElements {
		return fmt.Sprintf("it has %d elements", value.Len())
	}
	if value.Kind() == reflect.Slice {
		for i := range value.Len() {
			if problem := exceeds(value.Index(i)); problem != "" {
				return problem
			}
		}
		return ""
	}
	it := value.MapRange()
	for it.Next() {
		if exceeds(it.Key()) != "" || exceeds(it.Value()) != "" {
			return "a text is too long" // which one depends on the order of the map
		}
	}
	return ""
}
