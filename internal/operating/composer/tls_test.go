package composer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/operating/loader"
)

// authority is a CA of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().AddDate(1, 0, 0), KeyUsage: x509.KeyUsageCertSign,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key}
}

// issue writes a certificate with a serial number for 127.0.0.1 and returns the settings that use it.
func (authority *authority) issue(t *testing.T, folder string, serial int64) *loader.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().AddDate(1, 0, 0),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	data, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return &loader.TLS{
		CertificateFile: write("vm.crt", "CERTIFICATE", data), KeyFile: write("vm.key", "PRIVATE KEY", private),
		CAFile: write("ca.crt", "CERTIFICATE", authority.certificate.Raw),
	}
}

// Guards against VMs that accept peers without a certificate of the deployment's CA.
func TestPeersShowCertificates(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	settings := own.issue(t, t.TempDir(), 7)
	stranger := other.issue(t, t.TempDir(), 8)
	stranger.CAFile = settings.CAFile
	tests := map[string]struct {
		client func() (*http.Client, error)
		wantOK bool
	}{
		"own CA":         {func() (*http.Client, error) { return newTLSClient(settings) }, true},
		"another CA":     {func() (*http.Client, error) { return newTLSClient(stranger) }, false},
		"no certificate": {func() (*http.Client, error) { return &http.Client{}, nil }, false},
	}
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := withTLS(plain, settings, true)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, err := test.client()
			if err != nil {
				t.Fatal(err)
			}
			response, err := client.Get("https://" + plain.Addr().String())
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			if got := err == nil; got != test.wantOK {
				t.Errorf("connection: got %v (%v), want %v", got, err, test.wantOK)
			}
		})
	}
}

// Guards against a renewed certificate that needs a restart, and against a half-written one that ends
// the service.
func TestCertificateIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := t.TempDir()
		authority := newAuthority(t)
		settings := authority.issue(t, folder, 1)
		source := &certificateSource{certificateFile: settings.CertificateFile, keyFile: settings.KeyFile}
		serial := func() int64 {
			certificate, err := source.get()
			if err != nil {
				t.Fatal(err)
			}
			parsed, err := x509.ParseCertificate(certificate.Certificate[0])
			if err != nil {
				t.Fatal(err)
			}
			return parsed.SerialNumber.Int64()
		}
		changed := func(age time.Duration) {
			modified := time.Now().Add(age)
			if err := os.Chtimes(settings.CertificateFile, modified, modified); err != nil {
				t.Fatal(err)
			}
			time.Sleep(certificateCheckInterval)
		}
		if got, want := serial(), int64(1); got != want {
			t.Errorf("first certificate: got serial %d, want %d", got, want)
		}
		if err := os.WriteFile(settings.CertificateFile, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		changed(time.Hour)
		if got, want := serial(), int64(1); got != want {
			t.Errorf("half-written certificate: got serial %d, want %d", got, want)
		}
		authority.issue(t, folder, 2)
		changed(2 * time.Hour)
		if got, want := serial(), int64(2); got != want {
			t.Errorf("renewed certificate: got serial %d, want %d", got, want)
		}
	})
}
