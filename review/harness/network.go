package harness

import (
	"bytes"
	"context"
	"net"
	"net/http"
)

// listen opens a listener on a loopback address.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// post sends a JSON body to a path of a core machine.
func post(client *http.Client, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentType)
	return client.Do(request)
}

// SendHeartbeat sends a heartbeat to a core machine and returns whether it was acknowledged.
func SendHeartbeat(client *http.Client, address, id string, body []byte) (acknowledged bool) {
	response, err := post(client, address, "/v1/instances/"+id+"/heartbeat", body)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
