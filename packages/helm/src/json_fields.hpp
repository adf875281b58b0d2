#pragma once
// Fields of nodes' JSON answers, read without exceptions: what is missing or of another type is empty, 0 or
// false.
#include <boost/json.hpp>
#include <string>
#include <vector>

namespace helm {

// As people read it: a string as it is, other values as JSON, "-" where there is none.
std::string text_field(const boost::json::object& object, const char* key);
std::string string_field(const boost::json::object& object, const char* key);
double number_field(const boost::json::object& object, const char* key);
bool bool_field(const boost::json::object& object, const char* key);
boost::json::object object_field(const boost::json::object& object, const char* key);
// The objects in an array; what else is in it is passed over.
std::vector<boost::json::object> objects_in(const boost::json::object& object, const char* key);

}  // namespace helm
