package operator

// ReadReply decodes a reply to a save as the client does.
func ReadReply(status int, reply []byte) (Answer, error) {
	var answer Answer
	err := (&exchange{}).read("host", status, reply, &answer)
	return answer, err
}
