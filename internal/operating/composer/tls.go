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

// certificateCheckInterval is how often the modification time of the certificate file is checked.
const certificateCheckInterval = 10 * time.Second

// certificateReloader loads a certificate from files and reloads it when the certificate file has changed, so that a
// renewed certificate needs no restart. It is safe for concurrent use.
type certificateReloader struct {
	certificateFile string
	keyFile         string

	mutex            sync.Mutex
	certificate      *tls.Certificate
	modificationTime time.Time
	lastCheck        time.Time
}

func (certificateReloader *certificateReloader) currentCertificate() (*tls.Certificate, error) {
	certificateReloader.mutex.Lock()
	defer certificateReloader.mutex.Unlock()
	if certificateReloader.certificate != nil && time.Since(certificateReloader.lastCheck) < certificateCheckInterval {
		return certificateReloader.certificate, nil
	}
	certificateReloader.lastCheck = time.Now()
	info, err := os.Stat(certificateReloader.certificateFile)
	if err == nil && certificateReloader.certificate != nil && info.ModTime().Equal(certificateReloader.modificationTime) {
		return certificateReloader.certificate, nil
	}
	certificate, err := tls.LoadX509KeyPair(certificateReloader.certificateFile, certificateReloader.keyFile)
	if err != nil {
		// The files may be only partly written. The previous certificate stays in use until they can be loaded.
		if certificateReloader.certificate != nil {
			return certificateReloader.certificate, nil
		}
		return nil, Error.New("load certificate: %v", err)
	}
	certificateReloader.certificate, certificateReloader.modificationTime = &certificate, info.ModTime()
	return certificateReloader.certificate, nil
}

func loadCAPool(caFile string) (*x509.CertPool, error) {
	data, err := os.ReadFile(caFile) //nolint:gosec // The settings name the file.
	if err != nil {
		return nil, Error.New("load CA: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, Error.New("load CA: the file contains no PEM certificate")
	}
	return pool, nil
}

// withTLS wraps a listener with TLS if the settings configure certificates. On the peer listener, clients must
// present a certificate of the configured CA.
func withTLS(listener net.Listener, settings *loader.TLS, isPeer bool) (net.Listener, error) {
	if settings == nil {
		return listener, nil
	}
	reloader := &certificateReloader{certificateFile: settings.CertificateFile, keyFile: settings.KeyFile}
	if _, err := reloader.currentCertificate(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return reloader.currentCertificate() },
	}
	if isPeer && settings.CAFile != "" {
		pool, err := loadCAPool(settings.CAFile)
		if err != nil {
			return nil, err
		}
		config.ClientCAs, config.ClientAuth = pool, tls.RequireAndVerifyClientCert
	}
	return tls.NewListener(listener, config), nil
}

func newTLSClient(settings *loader.TLS) (*http.Client, error) {
	reloader := &certificateReloader{certificateFile: settings.CertificateFile, keyFile: settings.KeyFile}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return reloader.currentCertificate()
		},
	}
	if settings.CAFile != "" {
		pool, err := loadCAPool(settings.CAFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, nil
}
