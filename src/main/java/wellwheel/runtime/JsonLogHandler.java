package wellwheel.runtime;

import java.util.ResourceBundle;

/** Writes log records as JSON lines to standard output. */
public final class JsonLogHandler extends System.LoggerFinder {
  @Override
  public System.Logger getLogger(String name, Module module) {
    return new Lines(name);
  }

  private record Lines(String name) implements System.Logger {
    @Override
    public String getName() {
      return name;
    }

    @Override
    public boolean isLoggable(Level level) {
      return level.getSeverity() >= Level.INFO.getSeverity()
          && !name.startsWith("jdk")
          && !name.startsWith("java");
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String text, Throwable thrown) {
      if (isLoggable(level)) {
        write(
            level,
            text
                + " "
                + thrown
                + (thrown.getStackTrace().length > 0 ? " at " + thrown.getStackTrace()[0] : ""));
      }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... values) {
      if (isLoggable(level)) {
        write(level, format);
      }
    }

    private void write(Level level, String text) {
      var line =
          new StringBuilder(96 + text.length())
              .append("{\"us\":")
              .append(System.currentTimeMillis() * 1000)
              .append(",\"level\":\"")
              .append(level)
              .append("\",\"from\":\"")
              .append(name)
              .append("\",\"text\":\"");
      for (var i = 0; i < text.length(); i++) {
        var c = text.charAt(i);
        if (c == '"' || c == '\\') {
          line.append('\\').append(c);
        } else {
          line.append(c < ' ' ? ' ' : c);
        }
      }
      System.out.println(line.append("\"}"));
    }
  }
}
