package recorder

import (
	"errors"
	"fmt"
	"syscall"

	"celeryvalve/explainer"
)

const corruptRemedy = "keep a copy of the data folder for inspection, check the disk, then start with an empty folder and " +
	"admit the replica again as a replacement; do not do this on a majority of replicas at once"

func corruptError(format string, args ...any) error {
	return explainer.New(explainer.Corrupt, fmt.Sprintf(format, args...), corruptRemedy)
}

func diskError(cause error, operation string) error {
	if errors.Is(cause, syscall.ENOSPC) || errors.Is(cause, syscall.EDQUOT) {
		return explainer.Wrap(cause, explainer.Unavailable, operation+": disk is full",
			"free space on the disk of the data folder and restart this replica")
	}
	return explainer.Wrap(cause, explainer.Unavailable, operation+": disk failed",
		"check the disk of the data folder and restart this replica")
}
