package brokentarget

import (
	"strconv"
	"strings"
)

// Heads are responses whose heads violate HTTP, by name, in groups of one fault each. "%" stands for
// further fields of the head that is to look valid.
var Heads = map[string]map[string]string{
	"status": {
		"000":                "HTTP/1.1 000 \r\n%Content-Length: 4\r\n\r\nevil",
		"020":                "HTTP/1.1 020 X\r\n%Content-Length: 4\r\n\r\nevil",
		"plus-20":            "HTTP/1.1 +20 X\r\n%Content-Length: 4\r\n\r\nevil",
		"000-second-head":    "HTTP/1.1 000 X\r\n%\r\nHTTP/1.1 200 OK\r\n%Content-Length: 4\r\n\r\nevil",
		"099-second-head":    "HTTP/1.1 099 X\r\n%\r\nHTTP/1.1 200 OK\r\n%Content-Length: 4\r\n\r\nevil",
		"101":                "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n%Content-Length: 4\r\n\r\nevil",
		"600":                "HTTP/1.1 600 X\r\n%Content-Length: 4\r\n\r\nevil",
		"999":                "HTTP/1.1 999 X\r\n%Content-Length: 4\r\n\r\nevil",
		"no-number":          "HTTP/1.1 abc X\r\n%Content-Length: 4\r\n\r\nevil",
		"many-interim-heads": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 10000) + "HTTP/1.1 200 OK\r\n%Content-Length: 4\r\n\r\nevil",
	},
	"name": {
		"blank":              "HTTP/1.1 200 OK\r\n%Bad Name: x\r\nContent-Length: 4\r\n\r\nevil",
		"blank-before-colon": "HTTP/1.1 200 OK\r\n%X-Name : x\r\nContent-Length: 4\r\n\r\nevil",
		"blank-in-length":    "HTTP/1.1 200 OK\r\n%Content-Length : 4\r\n\r\nevil body",
		"blank-in-chunked":   "HTTP/1.1 200 OK\r\n%Transfer-Encoding : chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n",
		"blank-in-interim":   "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n%Content-Length: 4\r\n\r\nevil",
		"blank-in-trailer":   "HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\nBad Name: x\r\n\r\n",
		"control-in-trailer": "HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\nBad\x01Name: x\r\n\r\n",
		"control-1":          "HTTP/1.1 200 OK\r\n%Bad\x01Name: x\r\nContent-Length: 4\r\n\r\nevil",
		"control-tab":        "HTTP/1.1 200 OK\r\n%Content-Length\t: 4\r\n\r\nevil body",
		"control-nul":        "HTTP/1.1 200 OK\r\n%Bad\x00Name: x\r\nContent-Length: 4\r\n\r\nevil",
		"control-del":        "HTTP/1.1 200 OK\r\n%Bad\x7fName: x\r\nContent-Length: 4\r\n\r\nevil",
		"no-colon":           "HTTP/1.1 200 OK\r\n%Bad\r\nContent-Length: 4\r\n\r\nevil",
		"empty":              "HTTP/1.1 200 OK\r\n%: x\r\nContent-Length: 4\r\n\r\nevil",
		"not-ascii":          "HTTP/1.1 200 OK\r\n%B\xe4d: x\r\nContent-Length: 4\r\n\r\nevil",
	},
	"version": {
		"2.0": "HTTP/2.0 200 OK\r\n%Content-Length: 4\r\n\r\nevil",
		"0.9": "HTTP/0.9 200 OK\r\n%Content-Length: 4\r\n\r\nevil",
	},
}

// Malformed returns the responses of a group of Heads with more fields, each of which ends with a line
// break. Each is there twice: on a connection that stays open, and on one that ends after it.
func Malformed(group, fields string) map[string]Response {
	responses := map[string]Response{}
	for name, text := range Heads[group] {
		raw := strings.ReplaceAll(text, "%", fields)
		responses[name] = Response{Bytes: raw, End: KeepOpen}
		responses[name+"-ends"] = Response{Bytes: raw, End: CloseSending}
	}
	return responses
}

// BrokenWith returns, by name, responses whose body has this text: with heads that violate HTTP, and with
// a length of which a byte is missing.
func BrokenWith(body string) map[string]Response {
	responses := map[string]Response{
		"cut-short": {Bytes: "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)+1) + "\r\n\r\n" + body, End: CloseSending},
	}
	for name, head := range map[string]string{
		"status":  "HTTP/1.1 600 X\r\n",
		"name":    "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n",
		"version": "HTTP/2.0 200 OK\r\n",
	} {
		responses[name] = Response{Bytes: head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body, End: KeepOpen}
	}
	return responses
}
