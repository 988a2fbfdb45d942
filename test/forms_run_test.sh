# Forms of heads and chunks that two readers may take for two things, against real instances.
exec "$1/test/forms" "$1/cmd/arbutuspond"
