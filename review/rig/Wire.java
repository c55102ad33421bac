import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** MessagePack bodies as maps, lists, strings, numbers, booleans and null. */
final class Wire {
    private Wire() {}

    static byte[] pack(Object value) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            put(packer, value);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void put(MessageBufferPacker packer, Object value) throws IOException {
        if (value == null) packer.packNil();
        else if (value instanceof String) packer.packString((String) value);
        else if (value instanceof Boolean) packer.packBoolean((Boolean) value);
        else if (value instanceof Double) packer.packDouble((Double) value);
        else if (value instanceof Number) packer.packLong(((Number) value).longValue());
        else if (value instanceof Map) {
            Map<?, ?> map = (Map<?, ?>) value;
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                packer.packString((String) entry.getKey());
                put(packer, entry.getValue());
            }
        } else if (value instanceof List) {
            List<?> list = (List<?>) value;
            packer.packArrayHeader(list.size());
            for (Object item : list) put(packer, item);
        } else throw new IllegalArgumentException(value.getClass().toString());
    }

    static Object unpack(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return get(unpacker);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> unpackMap(byte[] bytes) {
        return bytes.length == 0 ? new LinkedHashMap<>() : (Map<String, Object>) unpack(bytes);
    }

    private static Object get(MessageUnpacker unpacker) throws IOException {
        switch (unpacker.getNextFormat().getValueType()) {
            case NIL: unpacker.unpackNil(); return null;
            case BOOLEAN: return unpacker.unpackBoolean();
            case INTEGER: return unpacker.unpackLong();
            case FLOAT: return unpacker.unpackDouble();
            case STRING: return unpacker.unpackString();
            case ARRAY: {
                int size = unpacker.unpackArrayHeader();
                List<Object> list = new ArrayList<>(size);
                for (int i = 0; i < size; i++) list.add(get(unpacker));
                return list;
            }
            case MAP: {
                int size = unpacker.unpackMapHeader();
                Map<String, Object> map = new LinkedHashMap<>();
                for (int i = 0; i < size; i++) {
                    String key = unpacker.unpackString();
                    map.put(key, get(unpacker));
                }
                return map;
            }
            default: throw new IllegalStateException("binary data");
        }
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static long num(Object value) { return ((Number) value).longValue(); }

    static double dbl(Object value) { return ((Number) value).doubleValue(); }

    /** The length of the JSON form, in bytes. */
    static int jsonBytes(Object value) {
        if (value == null) return 4;
        if (value instanceof String) return jsonText((String) value);
        if (value instanceof Boolean) return (Boolean) value ? 4 : 5;
        if (value instanceof Map) {
            int bytes = 2;
            int count = 0;
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                if (count++ > 0) bytes++;
                bytes += jsonText((String) entry.getKey()) + 1 + jsonBytes(entry.getValue());
            }
            return bytes;
        }
        if (value instanceof List) {
            int bytes = 2;
            int count = 0;
            for (Object item : (List<?>) value) {
                if (count++ > 0) bytes++;
                bytes += jsonBytes(item);
            }
            return bytes;
        }
        return value.toString().length();
    }

    private static int jsonText(String text) {
        int bytes = 2 + text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
        for (int i = 0; i < text.length(); i++) if (text.charAt(i) == '"' || text.charAt(i) == '\\') bytes++;
        return bytes;
    }
}
