package main

import (
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"standin": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			pid := os.Getpid() // each test process has its own IP numbers
			env.Setenv("NET", fmt.Sprintf("127.%d.%d", 64+pid>>8&63, pid&255))
			return nil
		},
	})
}
