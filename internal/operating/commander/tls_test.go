package commander

import (
	"bytes"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against sending the token to a server whose certificate is not signed by the deployment's CA, or over an
// unencrypted connection although a CA was given.
func TestServerCertificateIsChecked(t *testing.T) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write([]byte(`{"jobs":[]}`))
	})
	encrypted := httptest.NewTLSServer(handler)
	t.Cleanup(encrypted.Close)
	plain := httptest.NewServer(handler)
	t.Cleanup(plain.Close)
	folder := t.TempDir()
	known := filepath.Join(folder, "known.pem")
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: encrypted.Certificate().Raw})
	if err := os.WriteFile(known, certificate, 0o600); err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(folder, "empty.pem")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		server   string
		caFile   string
		wantCode int
	}{
		"known CA":                    {encrypted.Listener.Addr().String(), known, exitOK},
		"encrypted server without CA": {encrypted.Listener.Addr().String(), "", exitFailure},
		"plain server with CA":        {plain.Listener.Addr().String(), known, exitNotRun},
		"CA file without certificate": {encrypted.Listener.Addr().String(), empty, exitInvalid},
		"missing CA file":             {encrypted.Listener.Addr().String(), filepath.Join(folder, "none"), exitInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			arguments := []string{"--server", test.server, "--ca-file", test.caFile, "job", "list"}
			if got := New().Run(arguments, strings.NewReader(""), &stdout, &stderr); got != test.wantCode {
				t.Errorf("exit code: got %d, want %d (%s)", got, test.wantCode, stderr.String())
			}
		})
	}
}
