package encoder_test

import (
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/administrator"
	"celeryvalve/controller"
	"celeryvalve/coordinator"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/publisher"
	"celeryvalve/relayer"
	"celeryvalve/router"
	"celeryvalve/sampler"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
	"celeryvalve/subscriber"
)

// allMessages returns the messages of all processes, and what snapshots consist of.
func allMessages() []encoder.MessageType {
	messages := slices.Concat(spreader.Messages(), declarer.Messages(), submitter.Messages(), coordinator.Messages(), fetcher.Messages(),
		relayer.ExplainMessages(), subscriber.Messages(), publisher.Messages(), administrator.Messages(), controller.Messages(),
		router.Messages(), sampler.Messages())
	return append(messages,
		encoder.Message[declarer.Declared]("Declared"),
		encoder.Message[declarer.Delta]("Delta"),
		encoder.Message[controller.Record]("Record"),
		encoder.Message[controller.Member]("Member"),
		encoder.Message[controller.ClaimRecord]("ClaimRecord"),
	)
}

var (
	oddStrings = []string{"", "a", "i-\xff", "\xc3\x28\x00", "\x00", "\ufffd", "a\nb", strings.Repeat("\xfe", 70_000)}
	oddTimes   = []time.Time{{}, time.Unix(0, 0), time.Unix(1_700_000_000, 123_456_000), time.Unix(-1<<40, 0), time.Unix(1<<40, 0)}
	oddAddrs   = []netip.Addr{
		{}, netip.IPv4Unspecified(), netip.MustParseAddr("::ffff:10.0.0.1"), netip.MustParseAddr("fe80::1").WithZone("\xff"),
	}
	oddFloats = []float64{0, -1, math.MaxFloat64, math.SmallestNonzeroFloat64, math.Inf(1), math.Inf(-1)}
)

// maxOddDepth bounds values of types that contain themselves.
const maxOddDepth = 8

// fillOdd sets v, which is settable, to a value that no door would let in.
func fillOdd(t *rapid.T, v reflect.Value, depth int) {
	switch value := v.Addr().Interface().(type) {
	case *time.Time:
		*value = rapid.SampledFrom(oddTimes).Draw(t, "time")
		return
	case *netip.Addr:
		*value = rapid.SampledFrom(oddAddrs).Draw(t, "address")
		return
	case *netip.AddrPort:
		*value = netip.AddrPortFrom(rapid.SampledFrom(oddAddrs).Draw(t, "address"), rapid.Uint16().Draw(t, "port"))
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(rapid.SampledFrom(oddStrings).Draw(t, "string"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "bool"))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		shift := 64 - v.Type().Bits()
		v.SetInt(rapid.SampledFrom([]int64{0, -1, 1, math.MinInt64 >> shift, math.MaxInt64 >> shift}).Draw(t, "int"))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(rapid.SampledFrom([]uint64{0, 1, math.MaxUint64 >> (64 - v.Type().Bits())}).Draw(t, "uint"))
	case reflect.Float64:
		v.SetFloat(rapid.SampledFrom(oddFloats).Draw(t, "float"))
	case reflect.Array, reflect.Slice, reflect.Map, reflect.Pointer, reflect.Struct:
		fillOddParts(t, v, depth+1)
	default:
		t.Fatalf("no odd value of %s", v.Type())
	}
}

func fillOddParts(t *rapid.T, v reflect.Value, depth int) {
	length := 0
	if depth < maxOddDepth {
		length = rapid.IntRange(0, 3).Draw(t, "length")
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fillOdd(t, v.Field(i), depth)
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			fillOdd(t, v.Index(i), depth)
		}
	case reflect.Slice:
		if length > 0 {
			v.Set(reflect.MakeSlice(v.Type(), length, length))
		}
		for i := range length {
			fillOdd(t, v.Index(i), depth)
		}
	case reflect.Map:
		if length > 0 {
			v.Set(reflect.MakeMap(v.Type()))
		}
		for range length {
			key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fillOdd(t, key, depth)
			fillOdd(t, element, depth)
			v.SetMapIndex(key, element)
		}
	case reflect.Pointer:
		if length > 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fillOdd(t, v.Elem(), depth)
		}
	default:
	}
}

// isSame reports whether the values are equal as far as CBOR tells: an empty slice or map is none.
func isSame(a, b reflect.Value) bool {
	if at, ok := a.Interface().(time.Time); ok {
		bt, _ := b.Interface().(time.Time)
		return at.Sub(bt).Abs() < time.Millisecond // times are floating-point numbers
	}
	switch a.Kind() {
	case reflect.Struct:
		if a.Comparable() && a.Interface() == b.Interface() {
			return true
		}
		for i := range a.NumField() {
			if a.Type().Field(i).IsExported() && !isSame(a.Field(i), b.Field(i)) {
				return false
			}
		}
		return !strings.HasPrefix(a.Type().PkgPath(), "net/")
	case reflect.Pointer:
		return a.IsNil() == b.IsNil() && (a.IsNil() || isSame(a.Elem(), b.Elem()))
	case reflect.Slice, reflect.Array:
		for i := range min(a.Len(), b.Len()) {
			if !isSame(a.Index(i), b.Index(i)) {
				return false
			}
		}
		return a.Len() == b.Len()
	case reflect.Map:
		for _, key := range a.MapKeys() {
			if other := b.MapIndex(key); !other.IsValid() || !isSame(a.MapIndex(key), other) {
				return false
			}
		}
		return a.Len() == b.Len()
	default:
		return a.Interface() == b.Interface()
	}
}

// Guards against a message with a value that its sender can encode and no receiver can read: one
// such record kept a whole update from all followers (incident CONFIG).
func TestWhatIsEncodedIsReadable(t *testing.T) {
	messages := allMessages()
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.SampledFrom(messages).Draw(t, "message")
		codec, err := encoder.New(message)
		require.NoError(t, err)
		sent := reflect.New(message.Type())
		fillOdd(t, sent.Elem(), 0)
		data, err := codec.Encode(math.MaxUint64, sent.Interface())
		if err != nil {
			require.Equal(t, explainer.InvalidInput, explainer.KindOf(err), "%v", err)
			return
		}
		header, received, err := codec.Decode(data)
		require.NoError(t, err)
		require.Empty(t, header.LeftOut)
		require.Equal(t, message.Kind(), header.Kind)
		require.True(t, isSame(sent.Elem(), reflect.ValueOf(received).Elem()), "%+v was read as %+v", sent, received)
	})
}
