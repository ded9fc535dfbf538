package program

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
)

// ErrNoCommit is returned if the repository's history lacks a commit.
var ErrNoCommit = errors.New("program: commit is not in the repository's history")

// BuildCommit builds the binaries of an earlier commit of this repository in the
// directory dir. It returns the directory of the binaries.
func BuildCommit(dir, commit string) (string, error) {
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", fmt.Errorf("%w: %s: %w", ErrNoCommit, commit, err)
	}
	repository := string(root[:len(root)-1])
	archive := filepath.Join(dir, "source.tar")
	if text, err := exec.Command("git", "-C", repository, "archive", "--output", archive, commit).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s: %w: %s", ErrNoCommit, commit, err, text)
	}
	if text, err := exec.Command("tar", "-x", "-f", archive, "-C", dir).CombinedOutput(); err != nil {
		return "", fmt.Errorf("program: %w: %s", err, text)
	}
	binaries := filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", binaries+"/", "./cmd/...")
	build.Dir = dir
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("program: %w: %s", err, text)
	}
	return binaries, nil
}
