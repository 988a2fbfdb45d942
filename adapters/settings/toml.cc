// C interface that converts TOML files to JSON text.
extern "C" {
#include "settings/settings.h"
}

#include <cstring>
#include <fstream>
#include <sstream>
#include <string>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace
{

bool read_file(const char *path, std::string &text)
{
	std::ifstream in(path, std::ios::binary);
	std::ostringstream out;

	if (!in)
		return false;
	out << in.rdbuf();
	text = out.str();
	return !in.bad();
}

} // namespace

char *ap_toml_read(const char *path, int *line, ap_err_t *err)
{
	std::string text;

	*line = 0;
	if (!read_file(path, text)) {
		ap_err_set(err, "%s: can't be read", path);
		return nullptr;
	}
	toml::parse_result result = toml::parse(std::string_view(text), std::string_view(path));
	if (!result) {
		std::string what(result.error().description());

		*line = static_cast<int>(result.error().source().begin.line);
		ap_err_set(err, "%s:%d: %.160s", path, *line, what.c_str());
		return nullptr;
	}
	std::ostringstream json;
	json << toml::json_formatter{result.table()};
	return strdup(json.str().c_str());
}

int ap_toml_line(const char *path, const char *const *keys, size_t n)
{
	std::string text;
	const toml::node *node;
	int line = 0;

	if (!read_file(path, text))
		return 0;
	toml::parse_result result = toml::parse(std::string_view(text), std::string_view(path));
	if (!result)
		return 0;
	node = &result.table();
	for (size_t i = 0; i < n && node->is_table(); i++) {
		node = node->as_table()->get(keys[i]);
		if (!node)
			break;
		line = static_cast<int>(node->source().begin.line);
	}
	return line;
}
