package operator

// ReadReply decodes a reply to a save as the client does.
func ReadReply(status int, reply []byte) (SaveResult, error) {
	var result SaveResult
	err := (&retriedRequest{}).decodeReply("host", status, reply, &result)
	return result, err
}
