package configurer

import (
	"fmt"
	"reflect"

	"celeryvalve/parser"
)

// removePath removes an object, or an entry of a map inside an object. The maps
// along the path are copied, since other configurations share them.
func removePath(o *Objects, path parser.Path) error {
	keys, err := path.Keys()
	if err != nil {
		return err
	}
	return removeKeys(reflect.ValueOf(o).Elem(), path, keys)
}

func removeKeys(value reflect.Value, path parser.Path, keys []string) error {
	switch value.Kind() {
	case reflect.Struct:
		field := value.FieldByName(keys[0])
		if !field.IsValid() || len(keys) == 1 {
			return fmt.Errorf("%s can't be removed", path)
		}
		return removeKeys(field, path, keys[1:])
	case reflect.Map:
		return removeEntry(value, path, keys)
	default:
		return fmt.Errorf("%s can't be removed", path)
	}
}

func removeEntry(value reflect.Value, path parser.Path, keys []string) error {
	key := reflect.New(value.Type().Key()).Elem()
	key.SetString(keys[0])
	old := value.MapIndex(key)
	if !old.IsValid() {
		return fmt.Errorf("%s does not exist", path)
	}
	copied := reflect.MakeMap(value.Type())
	it := value.MapRange()
	for it.Next() {
		copied.SetMapIndex(it.Key(), it.Value())
	}
	value.Set(copied)
	if len(keys) == 1 {
		value.SetMapIndex(key, reflect.Value{})
		if value.Len() == 0 {
			value.SetZero() // an empty map is always nil, as in decoding
		}
		return nil
	}
	element := reflect.New(old.Type()).Elem()
	element.Set(old)
	if err := removeKeys(element, path, keys[1:]); err != nil {
		return err
	}
	value.SetMapIndex(key, element)
	return nil
}
