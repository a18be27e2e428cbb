package controller

import (
	"fmt"
	"reflect"

	"celeryvalve/explainer"
)

const (
	// MaximumTextLength is the maximum length of a string in a command, in bytes. It does
	// not apply to byte slices, such as the source of a patch or an answer, which
	// are bounded elsewhere.
	MaximumTextLength = 256
	// MaximumElements is the maximum number of elements of a list or map in a
	// command.
	MaximumElements = 1024
)

// checkBounds rejects a command whose strings, lists or maps are so large that the
// state might no longer fit into the frames of a snapshot.
func checkBounds(command any) *Rejected {
	if problem := sizeProblem(reflect.ValueOf(command).Elem()); problem != "" {
		return &Rejected{Kind: explainer.InvalidInput, Problem: problem,
			Remedy: fmt.Sprintf("send texts of up to %d bytes and lists of up to %d elements", MaximumTextLength, MaximumElements)}
	}
	return nil
}

// sizeProblem describes what is too large in the value, or returns an empty string
// if nothing is.
func sizeProblem(value reflect.Value) string {
	switch value.Kind() {
	case reflect.String:
		if value.Len() > MaximumTextLength {
			return fmt.Sprintf("a text of %d bytes is too long", value.Len())
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if problem := sizeProblem(value.Field(i)); problem != "" {
				return fmt.Sprintf("%s: %s", value.Type().Field(i).Name, problem)
			}
		}
	case reflect.Slice, reflect.Map:
		return elementsProblem(value)
	}
	return ""
}

// elementsProblem is sizeProblem for slices and maps. It ignores byte slices.
func elementsProblem(value reflect.Value) string {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		return ""
	}
	if value.Len() > MaximumElements {
		return fmt.Sprintf("a list of %d elements is too long", value.Len())
	}
	if value.Kind() == reflect.Slice {
		for i := range value.Len() {
			if problem := sizeProblem(value.Index(i)); problem != "" {
				return problem
			}
		}
		return ""
	}
	it := value.MapRange()
	for it.Next() {
		if sizeProblem(it.Key()) != "" || sizeProblem(it.Value()) != "" {
			// The answer must not depend on the iteration order of the map, so it
			// does not describe the element.
			return "an element is too large"
		}
	}
	return ""
}
