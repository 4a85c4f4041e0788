package thistlefall.cli.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Binds JSON to records and back. Names are in lower case with underscores, durations are text with a unit such as
 * {@code 250ms}, enum constants are in lower case. Unlike a general-purpose binder it does not stop at the first error.
 */
public final class RecordBinder {
    private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)(us|ms|s|m|h)");
    private static final Map<String, Double> NANOS_PER_UNIT =
            Map.of("us", 1e3, "ms", 1e6, "s", 1e9, "m", 60e9, "h", 3600e9);
    private final ValidationErrors errors;

    RecordBinder(ValidationErrors errors) {
        this.errors = errors;
    }

    /** Binds a value to a type; a missing or invalid value gives null, or zero or false for a primitive type. */
    Object bind(JsonNode node, Type type, String path) {
        if (node == null || node.isNull() || node.isMissingNode()) {
            return defaultValue(type);
        }
        if (type instanceof ParameterizedType parameterizedType) {
            return parameterizedType.getRawType() == List.class
                    ? bindList(node, parameterizedType.getActualTypeArguments()[0], path)
                    : bindMap(node, parameterizedType.getActualTypeArguments()[1], path);
        }
        Class<?> rawClass = (Class<?>) type;
        if (rawClass.isRecord()) {
            return bindRecord(node, rawClass, path);
        }
        if (rawClass == String.class) {
            return node.isTextual() ? node.textValue() : reject(path, "must be text", type);
        }
        if (rawClass == Duration.class) {
            return bindDuration(node, path);
        }
        if (rawClass.isEnum()) {
            return bindEnum(node, rawClass, path);
        }
        if (rawClass == boolean.class || rawClass == Boolean.class) {
            return node.isBoolean() ? (Object) node.booleanValue() : reject(path, "must be true or false", type);
        }
        return bindNumber(node, rawClass, path);
    }

    /** Adds an error and returns the default value of the type. */
    private Object reject(String path, String reason, Type type) {
        errors.add(path, reason);
        return defaultValue(type);
    }

    private static Object defaultValue(Type type) {
        if (type == int.class) {
            return 0;
        }
        if (type == long.class) {
            return 0L;
        }
        if (type == double.class) {
            return 0.0;
        }
        return type == boolean.class ? (Object) Boolean.FALSE : null;
    }

    private Object bindNumber(JsonNode node, Class<?> type, String path) {
        if (!node.isNumber()) {
            return reject(path, "must be a number", type);
        }
        double value = node.doubleValue();
        if (value < 0 || !Double.isFinite(value)) {
            return reject(path, "must not be negative", type);
        }
        if (type == double.class || type == Double.class) {
            return value;
        }
        if (value != Math.rint(value)) {
            return reject(path, "must be a whole number", type);
        }
        return type == int.class || type == Integer.class
                ? (Object) (int) Math.min(Integer.MAX_VALUE, value)
                : (Object) (long) value;
    }

    private Object bindDuration(JsonNode node, String path) {
        Matcher matcher = DURATION.matcher(node.isTextual() ? node.textValue() : "");
        if (!matcher.matches()) {
            return reject(path, "must be a span such as \"250ms\" or \"1.5s\"", Duration.class);
        }
        return Duration.ofNanos(
                Math.round(Double.parseDouble(matcher.group(1)) * NANOS_PER_UNIT.get(matcher.group(2))));
    }

    private Object bindEnum(JsonNode node, Class<?> enumType, String path) {
        for (Object constant : enumType.getEnumConstants()) {
            if (enumLabel(constant).equals(node.asText())) {
                return constant;
            }
        }
        return reject(
                path,
                "must be one of "
                        + String.join(
                                ", ",
                                Arrays.stream(enumType.getEnumConstants())
                                        .map(RecordBinder::enumLabel)
                                        .toList()),
                enumType);
    }

    private static String enumLabel(Object constant) {
        return ((Enum<?>) constant).name().toLowerCase(Locale.ROOT);
    }

    private Object bindList(JsonNode node, Type elementType, String path) {
        if (!node.isArray()) {
            return reject(path, "must be a list", List.class);
        }
        List<Object> values = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            Object value = bind(node.get(i), elementType, path + "[" + i + "]");
            if (value != null) {
                values.add(value);
            }
        }
        return List.copyOf(values);
    }

    private Object bindMap(JsonNode node, Type valueType, String path) {
        if (!node.isObject()) {
            return reject(path, "must be an object", Map.class);
        }
        Map<String, Object> values = new LinkedHashMap<>();
        node.properties()
                .forEach(property -> values.put(
                        property.getKey(), bind(property.getValue(), valueType, joinPath(path, property.getKey()))));
        return values;
    }

    private Object bindRecord(JsonNode node, Class<?> recordType, String path) {
        if (!node.isObject()) {
            return reject(path, "must be an object", recordType);
        }
        RecordComponent[] components = recordType.getRecordComponents();
        List<String> names =
                Arrays.stream(components).map(c -> settingName(c.getName())).toList();
        node.fieldNames().forEachRemaining(name -> {
            if (!names.contains(name)) {
                errors.add(joinPath(path, name), "unknown; there are " + String.join(", ", names));
            }
        });
        Object[] values = new Object[components.length];
        Class<?>[] types = new Class<?>[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            values[i] = bind(node.get(names.get(i)), components[i].getGenericType(), joinPath(path, names.get(i)));
        }
        try {
            Constructor<?> constructor = recordType.getDeclaredConstructor(types);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot create a settings record: " + recordType, e);
        }
    }

    static String joinPath(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    /**
     * The name of a record component in files: {@code keyWindow} becomes {@code key_window}, and {@code requestClass}
     * becomes {@code class}.
     */
    static String settingName(String component) {
        return component.equals("requestClass")
                ? "class"
                : component.replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
    }

    /** Converts a value to JSON that binds to an equal value. */
    public static JsonNode toJson(Object value) {
        JsonNodeFactory factory = JsonNodeFactory.instance;
        if (value == null) {
            return factory.nullNode();
        }
        if (value instanceof Duration duration) {
            return factory.textNode(
                    duration.toNanos() % 1_000_000 == 0 ? duration.toMillis() + "ms" : duration.toNanos() / 1e3 + "us");
        }
        if (value instanceof Enum<?> constant) {
            return factory.textNode(enumLabel(constant));
        }
        if (value instanceof List<?> list) {
            ArrayNode array = factory.arrayNode();
            list.forEach(item -> array.add(toJson(item)));
            return array;
        }
        if (value instanceof Record) {
            return recordToJson(value, factory.objectNode());
        }
        return value instanceof String text
                ? factory.textNode(text)
                : value instanceof Boolean flag
                        ? factory.booleanNode(flag)
                        : value instanceof Double number
                                ? factory.numberNode(number)
                                : factory.numberNode(((Number) value).longValue());
    }

    private static JsonNode recordToJson(Object settingsRecord, ObjectNode object) {
        for (RecordComponent component : settingsRecord.getClass().getRecordComponents()) {
            try {
                Object componentValue = component.getAccessor().invoke(settingsRecord);
                if (componentValue != null) {
                    object.set(settingName(component.getName()), toJson(componentValue));
                }
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("cannot read a settings record", e);
            }
        }
        return object;
    }
}
