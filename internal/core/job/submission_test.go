package job

import (
	"strings"
	"testing"
)

// validSubmission is a valid submission with one unknown field, which Parse ignores.
const validSubmission = `{"uid":"req-1","leverClass":"k","crew":"t","shape":"batch","urgency":"urgent","pieces":3,"vcpus":1.5,
"accelerators":0.0,"memoryGb":2.0,"bundle":"i","pullGb":1.0,"builds":null,"yard":null,"samePlace":false,"spread":false,
"loaners":true,"guessS":5.0,"markEveryS":0.0,"markCostS":0.0,"dueS":null,"unknown":[1]}`

// Parse accepts a valid submission. Otherwise it returns an error that names the invalid field or the
// problem of the whole submission.
func TestParseNamesInvalidField(t *testing.T) {
	if _, err := Parse([]byte(validSubmission), 1024); err != nil {
		t.Fatalf("valid submission: %v", err)
	}
	for name, c := range map[string]struct{ body, want string }{
		"not JSON":              {`{"uid":`, "valid submission"},
		"not an object":         {`[1]`, "object"},
		"missing field":         {strings.Replace(validSubmission, `"crew":"t",`, "", 1), "team"},
		"null field":            {strings.Replace(validSubmission, `"spread":false`, `"spread":null`, 1), "spread"},
		"wrong type":            {strings.Replace(validSubmission, `"pieces":3`, `"pieces":"3"`, 1), "submission"},
		"negative number":       {strings.Replace(validSubmission, `"vcpus":1.5`, `"vcpus":-1`, 1), "cpus"},
		"no tasks":              {strings.Replace(validSubmission, `"pieces":3`, `"pieces":0`, 1), "task count"},
		"too many tasks":        {strings.Replace(validSubmission, `"pieces":3`, `"pieces":100001`, 1), "task count"},
		"fractional task count": {strings.Replace(validSubmission, `"pieces":3`, `"pieces":2.5`, 1), "submission"},
		"unknown kind":          {strings.Replace(validSubmission, `"batch"`, `"bunch"`, 1), "kind"},
		"malformed id":          {strings.Replace(validSubmission, `"req-1"`, `"req-1/2"`, 1), "job id"},
		"long spec":             {strings.Replace(validSubmission, `"i"`, `"`+strings.Repeat("i", 2000)+`"`, 1), "too long"},
		"wrong id prefix":       {strings.Replace(validSubmission, `"req-1"`, `"job-1"`, 1), "job id"},
	} {
		if _, err := Parse([]byte(c.body), 1024); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, c.want)
		}
	}
}
