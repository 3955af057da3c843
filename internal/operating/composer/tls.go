package composer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/internal/operating/loader"
)

// certificateCheckInterval is how often the certificate file's time is looked at.
const certificateCheckInterval = 10 * time.Second

// certificateSource serves a certificate from files and reads them again when they have changed, so
// that a renewed certificate needs no restart. It is safe for concurrent use.
type certificateSource struct {
	certificateFile string
	keyFile         string

	mutex       sync.Mutex
	certificate *tls.Certificate
	modified    time.Time
	checked     time.Time
}

func (certificateSource *certificateSource) get() (*tls.Certificate, error) {
	certificateSource.mutex.Lock()
	defer certificateSource.mutex.Unlock()
	if certificateSource.certificate != nil && time.Since(certificateSource.checked) < certificateCheckInterval {
		return certificateSource.certificate, nil
	}
	certificateSource.checked = time.Now()
	info, err := os.Stat(certificateSource.certificateFile)
	if err == nil && certificateSource.certificate != nil && info.ModTime().Equal(certificateSource.modified) {
		return certificateSource.certificate, nil
	}
	certificate, err := tls.LoadX509KeyPair(certificateSource.certificateFile, certificateSource.keyFile)
	if err != nil {
		// A half-written renewal must not end the service; the old certificate stays in use.
		if certificateSource.certificate != nil {
			return certificateSource.certificate, nil
		}
		return nil, Error.New("load certificate: %v", err)
	}
	certificateSource.certificate, certificateSource.modified = &certificate, info.ModTime()
	return certificateSource.certificate, nil
}

func loadPool(caFile string) (*x509.CertPool, error) {
	data, err := os.ReadFile(caFile) //nolint:gosec // The settings name the file.
	if err != nil {
		return nil, Error.New("load CA: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, Error.New("the CA file holds no certificate")
	}
	return pool, nil
}

// withTLS wraps a listener when the settings have certificates. Peers must show one of their own.
func withTLS(listener net.Listener, settings *loader.TLS, isPeer bool) (net.Listener, error) {
	if settings == nil {
		return listener, nil
	}
	source := &certificateSource{certificateFile: settings.CertificateFile, keyFile: settings.KeyFile}
	if _, err := source.get(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return source.get() },
	}
	if isPeer && settings.CAFile != "" {
		pool, err := loadPool(settings.CAFile)
		if err != nil {
			return nil, err
		}
		config.ClientCAs, config.ClientAuth = pool, tls.RequireAndVerifyClientCert
	}
	return tls.NewListener(listener, config), nil
}

func newTLSClient(settings *loader.TLS) (*http.Client, error) {
	source := &certificateSource{certificateFile: settings.CertificateFile, keyFile: settings.KeyFile}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return source.get() },
	}
	if settings.CAFile != "" {
		pool, err := loadPool(settings.CAFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, nil
}
