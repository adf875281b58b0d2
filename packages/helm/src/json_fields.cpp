#include "json_fields.hpp"

namespace helm {

namespace json = boost::json;

std::string text_field(const json::object& object, const char* key) {
    const auto* value = object.if_contains(key);
    if (value == nullptr) return "-";
    return value->is_string() ? std::string(value->get_string().c_str()) : json::serialize(*value);
}

std::string string_field(const json::object& object, const char* key) {
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string().c_str()) : std::string();
}

double number_field(const json::object& object, const char* key) {
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<double>() : 0;
}

bool bool_field(const json::object& object, const char* key) {
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

json::object object_field(const json::object& object, const char* key) {
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_object() ? value->get_object() : json::object{};
}

std::vector<json::object> objects_in(const json::object& object, const char* key) {
    std::vector<json::object> objects;
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_array()) return objects;
    for (const auto& item : value->get_array())
        if (item.is_object()) objects.push_back(item.get_object());
    return objects;
}

}  // namespace helm
