// Package client sends requests as callers do, who take no response for one that isn't complete.
//
// # Usage
//
//	status, body := client.Exchange(request)
//	if status == 0 {
//		// No complete response came.
//	}
package client

import (
	"io"
	"net/http"
)

// Exchange sends a request and reads its response. The status is 0 if the response isn't complete.
func Exchange(r *http.Request) (status int, body string) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}
